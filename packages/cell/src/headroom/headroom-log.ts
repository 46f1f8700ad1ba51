/** Notes in the log what is kept for urgent work, each time that changes by much. */
import { logEvents, type Milliseconds, type ServiceName } from "@pebbledale/core";
import type { DecisionLog } from "../state/index.js";
import { logInterval, minLoggedChange, minLoggedShare } from "./constants.js";
import type { ServiceHeadroom } from "./service-room.js";

/** What was logged last of a service. */
interface LoggedHeadroom {
    readonly kept: number;
    readonly at: Milliseconds;
}

const neverLogged: LoggedHeadroom = { kept: 0, at: -Infinity };

/** See the module's comment. */
export class HeadroomLog {
    readonly #logged = new Map<ServiceName, LoggedHeadroom>();

    constructor(private readonly log: DecisionLog) {}

    /** A pass has ended. */
    logChange(service: ServiceName, room: ServiceHeadroom, now: Milliseconds): void {
        const { kept, at } = this.#logged.get(service) ?? neverLogged;
        const change = Math.abs(room.keptTasks - kept);
        if (change >= minLoggedChange && change >= kept * minLoggedShare && now - at >= logInterval) {
            this.#logged.set(service, { kept: room.keptTasks, at: now });
            this.log.log(logEvents.roomKept, { service, ...room.logFields });
        }
    }
}
