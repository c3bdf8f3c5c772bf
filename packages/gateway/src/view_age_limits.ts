/** How old a node's knowledge of the platform may be. */

import type {Milliseconds} from '@siskinmux/kernel';

/** Time for a send after its endpoint was chosen: it may have to connect first. */
const SEND_MILLISECONDS: Milliseconds = 500;

/** Time for a read of the store of this node's own, with a second call if the first is lost. */
const READ_MILLISECONDS: Milliseconds = 400;

/** Time for the next update of the feed, with the heartbeat that is sent less often. */
const FEED_UPDATE_MILLISECONDS: Milliseconds = 300;

/** Longest pauses and waits, which save calls to the store where there is time for them. */
const MAXIMUM_BATCH_MILLISECONDS: Milliseconds = 600;
const MAXIMUM_FEED_SOURCE_BATCH_MILLISECONDS: Milliseconds = 300;
const MAXIMUM_FEED_SOURCE_WATCH_MILLISECONDS: Milliseconds = 400;
const MAXIMUM_WATCH_MILLISECONDS: Milliseconds = 1_500;

/** Bounds that follow from the time in which changes have to take effect. */
export interface ViewAgeLimits {
  /** Age up to which a node chooses by what it knows. */
  readonly choice: Milliseconds;
  /** Age up to which the lease holder's feed replaces this node's own reads. */
  readonly feed: Milliseconds;
  /** Age at which a watch has to return. */
  readonly read: Milliseconds;
  /** Longest wait of a watch call. */
  readonly watch: Milliseconds;
  /** The same for the feed source, on whose reads all other nodes depend. */
  readonly feedSourceWatch: Milliseconds;
  /** Pause after changes of endpoints, so that further ones are read with one call. */
  readonly batch: Milliseconds;
  readonly feedSourceBatch: Milliseconds;
  /** Least interval between the messages that time the way of the feed. */
  readonly pulse: Milliseconds;
}

/** `effectMilliseconds` is the time from a change's acknowledgement to its last effect. */
export function viewAgeLimits(effectMilliseconds: Milliseconds): ViewAgeLimits {
  const choice = Math.max(0, effectMilliseconds - SEND_MILLISECONDS);
  const feed = Math.max(0, choice - READ_MILLISECONDS);
  return {
    choice,
    feed,
    read: Math.max(0, feed - FEED_UPDATE_MILLISECONDS),
    watch: Math.min(MAXIMUM_WATCH_MILLISECONDS, choice / 3),
    feedSourceWatch: Math.min(
      MAXIMUM_FEED_SOURCE_WATCH_MILLISECONDS,
      choice / 6,
    ),
    batch: Math.min(MAXIMUM_BATCH_MILLISECONDS, choice / 5),
    feedSourceBatch: Math.min(
      MAXIMUM_FEED_SOURCE_BATCH_MILLISECONDS,
      choice / 10,
    ),
    pulse: feed / 4,
  };
}
