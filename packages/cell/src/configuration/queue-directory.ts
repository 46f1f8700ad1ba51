/** Finds the queue that a caller's request names. */
import type { OrganisationName, QueueName } from "@pebbledale/core";
import { KeyRing } from "../organisations/index.js";
import type { CellConfiguration, QueueConfiguration } from "./types.js";

/** A queue with the part of the path that follows its prefix. */
export interface QueueMatch {
    readonly queue: QueueConfiguration;
    readonly rest: string;
}

/** Looks queues up by host and longest path prefix. */
export class QueueDirectory {
    /** Who may show which key. */
    readonly keys: KeyRing;
    /** The first priority of all queues. */
    readonly mostUrgentPriority: number;
    readonly #byHost = new Map<string, QueueConfiguration[]>();
    readonly #byName = new Map<QueueName, QueueConfiguration>();
    /** Jobs a second, by organisation. */
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

    /** The queue of a request, by the longest prefix; undefined when there is none. */
    find(host: string, path: string): QueueMatch | undefined {
        const queue = this.#byHost.get(host)?.find(candidate => path.startsWith(candidate.pathPrefix));
        return queue === undefined ? undefined : { queue, rest: path.slice(queue.pathPrefix.length) };
    }

    /** The queue of a name. */
    byName(name: QueueName): QueueConfiguration | undefined {
        return this.#byName.get(name);
    }

    /** Jobs a second that an organisation is owed; undefined when it is not named. */
    jobRateOf(organisation: OrganisationName): number | undefined {
        return this.#jobRates.get(organisation);
    }
}
