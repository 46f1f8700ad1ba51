/** Authentication of callers by their organisation's key. */
import { maxKeyLength, type QueueConfiguration, type QueueDirectory } from "@pebbledale/cell";
import type { OrganisationName } from "@pebbledale/core";

/** Bearer token of an `Authorization` header (RFC 6750). */
const credentials = /^Bearer +([\x21-\x7e]+) *$/i;

/** Longer headers are not parsed, so that a caller cannot use up processor time with them. */
const maxCredentialsLength = maxKeyLength + "Bearer ".length;

/** Outcome of authenticating a request. */
export type CallerAuthentication =
    /** `organisation` is undefined where the queue needs no key. */
    | { readonly kind: "allowed"; readonly organisation: OrganisationName | undefined; }
    | { readonly kind: "refused"; readonly reason: string; }
    /** The key may belong to a configuration that has not reached this VM. */
    | { readonly kind: "unsure"; readonly reason: string; };

/**
 * Authenticates a request to a queue.
 *
 * `shown`: values of its `Authorization` headers. `isCurrent`: whether the configuration is up to date. If not, an unknown key may
 * belong to a newer version and is not refused permanently.
 */
export const authenticateCaller = (
    { needsKey }: QueueConfiguration,
    { keys }: QueueDirectory,
    authorizationHeaders: readonly string[],
    isCurrent: boolean,
): CallerAuthentication => {
    if (!needsKey) {
        return { kind: "allowed", organisation: undefined };
    }
    if (authorizationHeaders.length !== 1) {
        const reason = authorizationHeaders.length === 0
            ? "a key of an organisation is needed"
            : "more than one key is shown";
        return { kind: "refused", reason };
    }
    const key = authorizationHeaders[0].length > maxCredentialsLength
        ? undefined
        : credentials.exec(authorizationHeaders[0])?.[1];
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
