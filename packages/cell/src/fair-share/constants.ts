/** Constants of fair sharing. */
import type { Milliseconds } from "@pebbledale/core";

/** Organisations' entitlements are counted over windows of this length. */
export const rateWindow: Milliseconds = 1_000;
