/** Two regions, each with one data hall, for tests. */
import { dataHallName, regionName } from "@pebbledale/core";
import type { EntryVm } from "../../src/index.js";
import { makeVm } from "./index.js";

export const [nearHall, farHall] = [dataHallName("near-a"), dataHallName("far-a")];
export const twoRegions = new Map([[nearHall, regionName("near")], [farHall, regionName("far")]]);

/** A VM in the region of the store. */
export const makeNearVm = (name: string, changes: Partial<EntryVm> = {}): EntryVm =>
    makeVm(name, { dataHall: nearHall, storeTime: 5, ...changes });

/** A VM in the other region. */
export const makeFarVm = (name: string, changes: Partial<EntryVm> = {}): EntryVm =>
    makeVm(name, { dataHall: farHall, storeTime: 21, ...changes });
