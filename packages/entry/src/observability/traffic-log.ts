/** Logs a VM's traffic at intervals. */
import { type Clock, logEvents, type Milliseconds } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import type { TrafficAccount, TrafficTotal } from "./traffic-account.js";

/** Time between two log lines. */
const trafficLogInterval: Milliseconds = 10_000;
/** Kinds named in one line, the largest first; the others are only in the metrics. */
const maxLoggedKinds = 24;

const bytesOf = ({ sent, received }: TrafficTotal): number => sent + received;

/** Logs what was exchanged since the process started until `signal` fires, and once more then. */
export const logTraffic = async (
    account: TrafficAccount,
    clock: Clock,
    logger: EventLogger,
    signal: AbortSignal,
): Promise<void> => {
    while (!signal.aborted) {
        await clock.sleep(trafficLogInterval, signal);
        const largest = [...account.totals]
            .sort((left, right) => bytesOf(right) - bytesOf(left))
            .slice(0, maxLoggedKinds)
            .map(({ peer, reach, kind, count, sent, received }) => [peer, reach, kind, count, sent, received]);
        logger.log(logEvents.trafficSummary, { traffic: largest });
    }
};
