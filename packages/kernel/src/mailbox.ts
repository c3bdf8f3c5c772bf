/**
 * Message queue of a task. Messages are handled one at a time, in order, so that the
 * state of the task needs no locks.
 */

/** Handles one message; the next one is handled once the promise has settled. */
export type MessageHandler<Message> = (
  message: Message,
) => void | Promise<void>;

/** Queue of typed messages with sequential processing. */
export class Mailbox<Message> {
  private readonly queue: Message[] = [];
  private isProcessing = false;
  private isClosed = false;

  private constructor(
    private readonly handle: MessageHandler<Message>,
    private readonly onFailure: (failure: unknown, message: Message) => void,
  ) {}

  /** `onFailure` receives the errors of `handle`; processing continues with the next message. */
  static create<Message>(
    handle: MessageHandler<Message>,
    onFailure: (failure: unknown, message: Message) => void,
  ): Mailbox<Message> {
    return new Mailbox(handle, onFailure);
  }

  /** Number of queued messages, without the one being handled. */
  get size(): number {
    return this.queue.length;
  }

  /** Enqueues a message; it is dropped if the mailbox is closed. */
  post(message: Message): void {
    if (this.isClosed) return;
    this.queue.push(message);
    if (!this.isProcessing) void this.processQueue();
  }

  /** Drops all queued messages and accepts no further ones. */
  close(): void {
    this.isClosed = true;
    this.queue.length = 0;
  }

  private async processQueue(): Promise<void> {
    this.isProcessing = true;
    for (
      let message = this.queue.shift();
      message !== undefined;
      message = this.queue.shift()
    ) {
      try {
        await this.handle(message);
      } catch (failure) {
        this.onFailure(failure, message);
      }
    }
    this.isProcessing = false;
  }
}
