/** Tells by the key that a caller shows which organisation it is of. */
import { type KeyDigest, keyDigest, type OrganisationName } from "@pebbledale/core";
import { createHash } from "node:crypto";
import type { Organisation } from "./types.js";

/** Longest key that is looked at, in characters: a digest of this much takes some microseconds. */
export const maxKeyLength = 512;

/**
 * Digest of a key. Keys are looked up by their digests: how long that takes tells nothing of a key that is known, and neither logs nor
 * messages between VMs can give one away.
 */
export const digestOf = (key: string): KeyDigest => keyDigest(createHash("sha256").update(key).digest("base64url"));

/** See the module's comment. */
export class KeyRing {
    readonly #holders = new Map<KeyDigest, OrganisationName>();

    constructor(organisations: readonly Organisation[]) {
        for (const { name, keys } of organisations) {
            keys.forEach(key => this.#holders.set(key, name));
        }
    }

    /** Whose key it is; undefined when nobody has it. */
    holderOf(key: string): OrganisationName | undefined {
        return key === "" || key.length > maxKeyLength ? undefined : this.#holders.get(digestOf(key));
    }
}
