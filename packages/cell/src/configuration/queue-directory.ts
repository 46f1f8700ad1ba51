/** Lookup of queues. */
import type { OrganisationName, QueueName } from "@pebbledale/core";
import { KeyRing } from "../organisations/index.js";
import type { CellConfiguration, QueueConfiguration } from "./types.js";

/** A queue with the part of a request's path that follows the queue's prefix. */
export interface QueueMatch {
    readonly queue: QueueConfiguration;
    readonly rest: string;
}

/** Looks queues up by name, or by a request's host and longest path prefix. */
export class QueueDirectory {
    readonly keys: KeyRing;
    /** The lowest number among the queues' priorities. */
    readonly mostUrgentPriority: number;
    readonly #byHost = new Map<string, QueueConfiguration[]>();
    readonly #byName = new Map<QueueName, QueueConfiguration>();
    /** Jobs per second, by organisation. */
    readonly #jobRates: ReadonlyMap<OrganisationName, number>;

    constructor(readonly configuration: CellConfiguration) {
        this.keys = new KeyRing(configuration.organisations);
        this.#jobRates = new Map(configuration.organisations.map(({ name, weight }) => [name, weight]));
        this.mostUrgentPriority = Math.min(...configuration.queues.map(({ priority }) => priority));
        for (const queue of configuration.queues) {
            this.#byName.set(queue.name, queue);
            const atHost = this.#byHost.get(queue.host) ?? [];
            atHost.push(queue);
            this.#byHost.set(queue.host, atHost);
        }
        for (const atHost of this.#byHost.values()) {
            atHost.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
        }
    }

    /** The queue of a request; undefined when no prefix matches. */
    find(host: string, path: string): QueueMatch | undefined {
        const queue = this.#byHost.get(host)?.find(candidate => path.startsWith(candidate.pathPrefix));
        return queue === undefined ? undefined : { queue, rest: path.slice(queue.pathPrefix.length) };
    }

    byName(name: QueueName): QueueConfiguration | undefined {
        return this.#byName.get(name);
    }

    /** Jobs per second that an organisation is entitled to; undefined when it is not configured. */
    jobRateOf(organisation: OrganisationName): number | undefined {
        return this.#jobRates.get(organisation);
    }
}
