/** Injection keys of the clock and the random source. */

import type {Clock, Random} from '@siskinmux/kernel';
import {injectionKey} from '@siskinmux/kernel';

/** Injection key of the clock. */
export const CLOCK = injectionKey<Clock>('clock');

/** Injection key of the random source. */
export const RANDOM = injectionKey<Random>('random');
