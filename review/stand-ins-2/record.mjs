/** The record of one run of a case: what was sent, answered and run, with milliseconds since its start. */
import { appendFileSync, writeFileSync } from "node:fs";
import { performance } from "node:perf_hooks";

const startedAt = performance.now();

/** Milliseconds since the case began, by the monotonic clock. */
export const now = () => performance.now() - startedAt;

/** Resolves after `milliseconds`. */
export const sleep = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds));

/** Resolves once `condition` holds; to false if it does not within `limit`. */
export const until = async (condition, limit, interval = 10) => {
    const deadline = now() + limit;
    while (!await condition()) {
        if (now() > deadline) {
            return false;
        }
        await sleep(interval);
    }
    return true;
};

/** Writes lines to a file. They are gathered, as a case may write thousands in a second. */
export class Record {
    #lines = [];

    constructor(file) {
        this.file = file;
        writeFileSync(file, "");
        this.timer = setInterval(() => this.flush(), 200);
        this.timer.unref();
    }

    write(text) {
        this.#lines.push(`${(now() / 1_000).toFixed(3).padStart(8)} s  ${text}\n`);
    }

    flush() {
        if (this.#lines.length > 0) {
            appendFileSync(this.file, this.#lines.join(""));
            this.#lines = [];
        }
    }
}
