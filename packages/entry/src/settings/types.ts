/** What an entry VM's program is told at its start. */
import type { Milliseconds } from "@pebbledale/core";
import type { FreshnessBounds } from "../following/index.js";

/** Bounds that the users set. */
export interface EntryBounds extends FreshnessBounds {
    /** Longest lease that a worker grants. */
    readonly longestLease: Milliseconds;
    /** The process is killed this long after it was asked to stop. */
    readonly stopWithin: Milliseconds;
    /** Members of a gang wait this long for the others. */
    readonly gangWait: Milliseconds;
    /** How long a VM is down for its upkeep. */
    readonly upkeepTime: Milliseconds;
    /** Two holders that both order a VM may not take turns within this time. */
    readonly orderTurn: Milliseconds;
}

/** The platform's store and what it allows. */
export interface StoreSettings {
    readonly address: string;
    readonly shortestLease: Milliseconds;
    /** Largest value in bytes. */
    readonly largestValue: number;
}

/** Settings of one entry VM. */
export interface EntrySettings {
    readonly vm: string;
    readonly dataHall: string;
    /** How much processor the VM has, in shares of one core. */
    readonly processorShare: number;
    readonly memoryMebibytes: number;
    /** IP number and port where callers are served. */
    readonly callersAddress: string;
    /** IP number and port where the platform asks whether this VM is ready. */
    readonly readinessAddress: string;
    /** IP number and port where the owner connects. */
    readonly peerAddress: string;
    /** IP number and port where metrics are served. */
    readonly metricsAddress: string;
    readonly store: StoreSettings;
    /** IP number and port of the advice service; undefined where there is none. */
    readonly adviceAddress: string | undefined;
    /** IP number and port of the platform's service of VMs; undefined where there is none. */
    readonly vmServiceAddress: string | undefined;
    readonly bounds: EntryBounds;
}
