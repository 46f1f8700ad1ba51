/** Decides whose a caller's request is, by the key that it shows. */
import { maxKeyLength, type QueueConfiguration, type QueueDirectory } from "@pebbledale/cell";
import type { OrganisationName } from "@pebbledale/core";

/** HTTP's scheme for keys that are shown as they are (RFC 6750). */
const credentials = /^Bearer +([\x21-\x7e]+) *$/i;

/** Longest head that is looked at, in characters: a caller's long head may not take a VM's time. */
const longestCredentials = maxKeyLength + "Bearer ".length;

/** Whose a request is, or why it is turned away. */
export type CallerAuthentication =
    /** `organisation`: undefined where the queue needs no key. */
    | { readonly kind: "allowed"; readonly organisation: OrganisationName | undefined; }
    | { readonly kind: "refused"; readonly reason: string; }
    /** The key may be newer than the configuration that is known here. */
    | { readonly kind: "unsure"; readonly reason: string; };

/**
 * Checks a request.
 * `shown`: the values of its headers that carry credentials.
 * `isCurrent`: whether the configuration was heard of lately. If not, a key that is not known may be of a version that this VM has not heard of.
 */
export const authenticateCaller = (
    { needsKey }: QueueConfiguration,
    { keys }: QueueDirectory,
    shown: readonly string[],
    isCurrent: boolean,
): CallerAuthentication => {
    if (!needsKey) {
        return { kind: "allowed", organisation: undefined };
    }
    if (shown.length !== 1) {
        const reason = shown.length === 0 ? "a key of an organisation is needed" : "more than one key is shown";
        return { kind: "refused", reason };
    }
    const key = shown[0].length > longestCredentials ? undefined : credentials.exec(shown[0])?.[1];
    if (key === undefined) {
        return { kind: "refused", reason: "the credentials are not a bearer key" };
    }
    const organisation = keys.holderOf(key);
    if (organisation !== undefined) {
        return { kind: "allowed", organisation };
    }
    return isCurrent
        ? { kind: "refused", reason: "nobody has this key" }
        : { kind: "unsure", reason: "the key is not known here, and the configuration was not heard of lately" };
};
