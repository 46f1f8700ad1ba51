/** Settings of an entry VM. */
import type { DataHallName, Milliseconds } from "@pebbledale/core";
import type { FreshnessBounds } from "../following/index.js";
import type { RegionMap } from "./regions.js";

/** Time limits set by the operators. */
export interface EntryBounds extends FreshnessBounds {
    /** Maximum length of a lease that a worker accepts. */
    readonly longestLease: Milliseconds;
    /** The process is killed this long after it was asked to stop. */
    readonly stopWithin: Milliseconds;
    /** Members of a gang wait this long for each other. */
    readonly gangWait: Milliseconds;
    /** How long one VM is down for upkeep. */
    readonly upkeepTime: Milliseconds;
    /** How long a new owner waits before it orders upkeep, as orders of the former owner may still be in effect. */
    readonly orderTurn: Milliseconds;
}

/** Address and limits of the platform's store. */
export interface StoreSettings {
    readonly address: string;
    readonly shortestLease: Milliseconds;
    /** In bytes. */
    readonly largestValue: number;
}

/** Settings of one entry VM. Addresses consist of an IP address and a port. */
export interface EntrySettings {
    readonly vm: string;
    readonly dataHall: DataHallName;
    /** Region of each data hall; empty where the platform names none. */
    readonly regions: RegionMap;
    /** Number of data halls that the cell may lose at once without losing service elsewhere. */
    readonly toleratedHallLosses: number;
    /** Available processor time, in shares of a core. */
    readonly processorShare: number;
    readonly memoryMebibytes: number;
    /** Where callers are served. */
    readonly callersAddress: string;
    /** Where the platform probes readiness. */
    readonly readinessAddress: string;
    /** Where the owner connects. */
    readonly peerAddress: string;
    /** Where metrics are served. */
    readonly metricsAddress: string;
    readonly store: StoreSettings;
    /** Address of the advice service; undefined where there is none. */
    readonly adviceAddress: string | undefined;
    /** Address of the platform's VM service; undefined where there is none. */
    readonly vmServiceAddress: string | undefined;
    readonly bounds: EntryBounds;
}
