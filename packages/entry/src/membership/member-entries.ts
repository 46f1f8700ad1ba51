/** Decoding of the entries of entry VMs and of the owner, among which another writer may have left odd ones. */
import { type DataHallName, dataHallName, isSocketAddress, type Milliseconds, parseJson } from "@pebbledale/core";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";

/** An entry VM as it registers itself in the store. */
export interface EntryVm {
    readonly name: string;
    /** IP address and port at which it accepts the owner's connection. */
    readonly address: string;
    readonly dataHall: DataHallName;
    /** Available processor time, in shares of a core. */
    readonly processorShare: number;
    /** Identifies the process: a restarted VM has another value. */
    readonly process: string;
    /** Start of the process in Unix seconds, by its own clock. */
    readonly startedAt: number;
    /** Least time of a call to the store from this VM; omitted where it is not measured. */
    readonly storeTime?: Milliseconds;
}

/** Value of the owner's key. */
export interface OwnerEntry {
    readonly name: string;
    readonly address: string;
    readonly process: string;
}

/** In characters. An entry has some hundred. */
const maxEntryLength = 65_536;

const address = z.string().refine(isSocketAddress, "must be an IP address and a port");
const ownerSchema = z.object({ name: z.string().min(1), address, process: z.string().min(1) });
const vmSchema = ownerSchema.extend({
    dataHall: z.string().transform(dataHallName),
    processorShare: z.number().min(0),
    startedAt: z.number(),
    storeTime: z.number().min(0).optional(),
});

/** Decodes the entry of a VM, which must name that VM, or says why it is unusable. */
export const decodeVmEntry = (name: string, text: string): Result<EntryVm, string> =>
    decode(vmSchema, text).andThen(({ storeTime, ...vm }) =>
        vm.name === name
            ? ok({ ...vm, ...(storeTime === undefined ? {} : { storeTime }) })
            : err("it names another VM than its key")
    );

/** Decodes the owner's entry, or says why it is unusable. */
export const decodeOwnerEntry = (text: string): Result<OwnerEntry, string> => decode(ownerSchema, text);

const decode = <Schema extends z.ZodType>(schema: Schema, text: string): Result<z.infer<Schema>, string> => {
    if (text.length > maxEntryLength) {
        return err(`it is longer than ${maxEntryLength} characters`);
    }
    const checked = schema.safeParse(parseJson(text));
    if (checked.success) {
        return ok(checked.data);
    }
    const [{ path, message }] = checked.error.issues;
    return err(path.length === 0 ? message : `${path.join(".")}: ${message}`);
};
