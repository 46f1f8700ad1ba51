/** Logs changes of headroom. */
import { logEvents, type Milliseconds, type ServiceName } from "@pebbledale/core";
import type { DecisionLog } from "../state/index.js";
import { logInterval, minLoggedChange, minLoggedShare } from "./constants.js";
import type { ServiceHeadroom } from "./service-headroom.js";

/** Last logged headroom of a service, in tasks. */
interface LoggedHeadroom {
    readonly tasks: number;
    readonly at: Milliseconds;
}

const neverLogged: LoggedHeadroom = { tasks: 0, at: -Infinity };

/** Logs a service's headroom when it has changed considerably, at a limited rate. */
export class HeadroomLog {
    readonly #logged = new Map<ServiceName, LoggedHeadroom>();

    constructor(private readonly log: DecisionLog) {}

    /** Called for each service at the end of a cycle. */
    logChange(service: ServiceName, headroom: ServiceHeadroom, now: Milliseconds): void {
        const { tasks, at } = this.#logged.get(service) ?? neverLogged;
        const change = Math.abs(headroom.headroomTasks - tasks);
        if (change >= minLoggedChange && change >= tasks * minLoggedShare && now - at >= logInterval) {
            this.#logged.set(service, { tasks: headroom.headroomTasks, at: now });
            this.log.log(logEvents.headroomChanged, { service, ...headroom.logFields });
        }
    }
}
