/** Reads a job's timeline from log files. */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { OperatorError } from "../output/index.js";
import { TimelineBuilder } from "./timeline.js";
import type { JobTimeline } from "./types.js";

/** Reads all files line by line; throws an {@link OperatorError} that names a file which cannot be read. */
export const readJobTimeline = async (job: string, files: readonly string[]): Promise<JobTimeline> => {
    const builder = new TimelineBuilder(job);
    for (const file of files) {
        try {
            let line = 0;
            for await (const text of createInterface({ input: createReadStream(file, "utf8"), crlfDelay: Infinity })) {
                builder.add(file, ++line, text);
            }
        }
        catch (cause) {
            throw new OperatorError("unreadable-file", `${file}: ${(cause as Error).message}`);
        }
    }
    return builder.build();
};
