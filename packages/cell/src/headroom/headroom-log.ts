/** Logs changes of headroom. */
import { logEvents, type Milliseconds, type ServiceName } from "@pebbledale/core";
import type { DecisionLog } from "../state/index.js";
import { leastLoggedChange, loggedEvery, loggedShare } from "./constants.js";
import type { ServiceRoom } from "./service-room.js";

/** The headroom of a service that was logged last. */
interface Logged {
    readonly kept: number;
    readonly at: Milliseconds;
}

const nothing: Logged = { kept: 0, at: -Infinity };

/** Logs a service's headroom when it has changed considerably, at a limited rate. */
export class HeadroomLog {
    readonly #logged = new Map<ServiceName, Logged>();

    constructor(private readonly log: DecisionLog) {}

    /** Called for each service at the end of a cycle. */
    note(service: ServiceName, room: ServiceRoom, now: Milliseconds): void {
        const { kept, at } = this.#logged.get(service) ?? nothing;
        const change = Math.abs(room.keptTasks - kept);
        if (change >= leastLoggedChange && change >= kept * loggedShare && now - at >= loggedEvery) {
            this.#logged.set(service, { kept: room.keptTasks, at: now });
            this.log.log(logEvents.roomKept, { service, ...room.figures });
        }
    }
}
