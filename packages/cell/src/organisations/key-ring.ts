/** Authentication of callers by key. */
import { type KeyDigest, keyDigest, type OrganisationName } from "@pebbledale/core";
import { createHash } from "node:crypto";
import type { Organisation } from "./types.js";

/** Longer keys, in characters, are rejected without computing a digest, which bounds the cost of a request. */
export const maxKeyLength = 512;

/**
 * Digest of a key. Keys are looked up and sent between VMs as digests only, so that neither the duration of a lookup nor a log or message
 * reveals a key.
 */
export const digestOf = (key: string): KeyDigest => keyDigest(createHash("sha256").update(key).digest("base64url"));

/** Finds the organisation to which a caller's key belongs. */
export class KeyRing {
    readonly #holders = new Map<KeyDigest, OrganisationName>();

    constructor(organisations: readonly Organisation[]) {
        for (const { name, keys } of organisations) {
            keys.forEach(key => this.#holders.set(key, name));
        }
    }

    /** The organisation that holds a key; undefined when there is none. */
    holderOf(key: string): OrganisationName | undefined {
        return key === "" || key.length > maxKeyLength ? undefined : this.#holders.get(digestOf(key));
    }
}
