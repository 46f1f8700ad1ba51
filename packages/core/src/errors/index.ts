/** Catalogue of all errors that callers and operators receive. `docs/ERRORS.md` is generated from it. */

/** An error as users see it. */
export interface ErrorEntry {
    readonly title: string;
    readonly message: string;
    readonly hint: string;
    /** HTTP status; undefined for errors that only the command line reports. */
    readonly status?: number;
}

const define = (title: string, message: string, hint: string, status?: number): ErrorEntry => ({
    title,
    message,
    hint,
    status,
});

/** All errors by the name that callers receive. */
export const errorCatalogue = {
    "bad-request": define(
        "The request cannot be read",
        "The body or a header is not what the interface takes.",
        "The findings name each place; correct them and send the request again.",
        400,
    ),
    "body-too-large": define(
        "The body is too large",
        "The body is longer than the gateway takes.",
        "Send less, or have the task fetch its input itself.",
        413,
    ),
    "unreadable-file": define(
        "The file cannot be read",
        "A file that the command names cannot be opened or read.",
        "Check the path and its permissions.",
    ),
    "no-such-job": define(
        "No such job",
        "No shard knows a job of this id or key; it may have been forgotten after its retention.",
        "Check the id. A job is kept for result.retention after its end.",
        404,
    ),
    "no-such-service": define(
        "No such service",
        "No job of class service with this name is known.",
        "Submit the service first, or check its name.",
        404,
    ),
    "no-such-path": define(
        "No such path",
        "The gateway has nothing at this path.",
        "See the README for the paths.",
        404,
    ),
    "not-finished": define(
        "The job has no result yet",
        "The job is not at its end.",
        "Wait for it, or come back when Retry-After says.",
        409,
    ),
    "fits-nowhere": define(
        "The job can never run",
        "No worker has room for it, even when empty. It was not run.",
        "The reason names the nearest worker and what it lacks; ask for less.",
        422,
    ),
    "quota-too-small": define(
        "The team may never hold this much",
        "The job asks for more than its team's quota. It was not run.",
        "Ask for less, or have the quota raised.",
        422,
    ),
    "key-reused": define(
        "The key names another job",
        "A job with this key and another body is known. This one was not run.",
        "Use a new key for new work.",
        409,
    ),
    "queue-full": define(
        "Too much waits already",
        "The queue is full at this priority. The job was not run.",
        "Come back when Retry-After says.",
        429,
    ),
    "deadline-cannot-be-met": define(
        "The deadline cannot be met",
        "The work would end after its deadline. It was not run.",
        "Give it a later deadline, or come back when there is less to do.",
        422,
    ),
    "no-workers": define(
        "No worker is known yet",
        "The owner has not read the list of VMs yet. The job was not run.",
        "Come back when Retry-After says.",
        503,
    ),
    "no-owner": define(
        "The shard has no owner just now",
        "No scheduler answered for the shard. The work was not taken.",
        "Come back when Retry-After says.",
        503,
    ),
    "journal-stalled": define(
        "Nothing can be recorded just now",
        "The platform's service does not answer, so no new work is accepted. The job was not run.",
        "Come back when Retry-After says; live requests and work accepted before go on.",
        503,
    ),
    "not-recorded": define(
        "It is not known whether the job was accepted",
        "The platform did not confirm the record in time. The job may be accepted later under its key.",
        "Ask again with the same key when Retry-After says: it is never accepted twice.",
        503,
    ),
    "overloaded": define(
        "All instances are busy",
        "The request would wait longer than live.wait_limit. It was not run.",
        "Come back when Retry-After says.",
        503,
    ),
    "instance-failed": define(
        "The instance did not answer",
        "The request was sent and no answer began. It may have run.",
        "Send it again if it may run twice.",
        502,
    ),
    "instance-unreachable": define(
        "No instance could be reached",
        "Every send was refused before the request was read. It was not run.",
        "Come back when Retry-After says.",
        503,
    ),
    "already-sent": define(
        "The request was sent already",
        "An unrepeatable request of this key was sent before; it is not sent again.",
        "The answer of the first send went to whoever sent it. Use a new key for new work.",
        409,
    ),
    "stopping": define(
        "The gateway is stopping",
        "The gateway takes no new requests.",
        "Send it again; the balancer knows.",
        503,
    ),
    "internal": define(
        "The program failed",
        "Something happened that the program does not expect.",
        "The log holds an event with the same request id; please report it.",
        500,
    ),
    "bad-site": define(
        "No such form of a site",
        "A site is named as REGION/SITE.",
        "Name the region and the site, as in --site luzon/pasig.",
    ),
    "unreadable-settings": define(
        "The accepted settings are not valid",
        "An accepted revision has findings, as it was accepted by another version of the program.",
        "Use the version that accepted it, or accept a corrected tree with this revision as its base.",
    ),
    "bad-settings": define(
        "The settings are not accepted",
        "The file has findings.",
        "Correct each line that is named.",
    ),
    "settings-superseded": define(
        "Another operator was first",
        "The tree in force is not the one that was edited.",
        "Read the difference, apply the change to the tree in force and accept that.",
    ),
    "settings-too-large": define(
        "The tree is too large",
        "The platform's service could not hold it.",
        "Shorten the tree; sections that only repeat their parent's values can go.",
    ),
    "unknown-revision": define(
        "No such revision",
        "No tree of this revision was accepted, or its history is gone.",
        "List the revisions with: pebbledale settings history.",
    ),
    "no-settings": define(
        "No tree of settings has been accepted",
        "Nothing is in force yet.",
        "Accept a first tree with: pebbledale settings accept FILE --base 0.",
    ),
    "platform-unavailable": define(
        "The platform does not answer",
        "The platform's service gave no answer.",
        "Try again. Nothing is assumed of a call without an answer.",
    ),
    "already-running": define(
        "The address is in use",
        "Another process listens at this address, perhaps a second one with the same settings.",
        "Stop that process, or give this one an address of its own.",
    ),
} as const satisfies Record<string, ErrorEntry>;

/** Name of an error in the catalogue. */
export type ErrorName = keyof typeof errorCatalogue;

/** JSON body of an error response. */
export interface ErrorBody {
    readonly error: ErrorName;
    readonly title: string;
    readonly message: string;
    readonly hint: string;
    /** Details of this occurrence. */
    readonly reason?: string;
    readonly retryAfterMilliseconds?: number;
    readonly findings?: readonly { readonly place: string; readonly message: string; }[];
}

/** Creates the body of an error response from the catalogue entry and the details of this occurrence. */
export const errorBody = (error: ErrorName, details: Partial<ErrorBody> = {}): ErrorBody => {
    const { title, message, hint } = errorCatalogue[error] as ErrorEntry;
    return { error, title, message, hint, ...details };
};

/** Returns the HTTP status of an error; 500 for those that only the command line reports. */
export const statusOf = (error: ErrorName): number => (errorCatalogue[error] as ErrorEntry).status ?? 500;
