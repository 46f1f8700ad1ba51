/** Constants of fair sharing. */
import type { Milliseconds } from "@pebbledale/core";

/** Length of the windows in which organisations' submissions are counted. Entitlements are rates per second. */
export const rateWindow: Milliseconds = 1_000;
