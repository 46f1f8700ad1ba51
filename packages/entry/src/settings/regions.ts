/** Regions of a deployment's data halls. */
import type { DataHallName, RegionName } from "@pebbledale/core";

/** Region of each data hall; empty where the platform names none. */
export type RegionMap = ReadonlyMap<DataHallName, RegionName>;

/** Whether the data halls stand in more than one region. */
export const hasSeveralRegions = (regions: RegionMap): boolean => new Set(regions.values()).size > 1;
