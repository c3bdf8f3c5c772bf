/** Keys of the injected clock and chance. */

import type {Clock, Random} from '@siskinmux/kernel';
import {injectionKey} from '@siskinmux/kernel';

/** Key of the source of time. */
export const CLOCK = injectionKey<Clock>('clock');

/** Key of the source of chance. */
export const RANDOM = injectionKey<Random>('random');
