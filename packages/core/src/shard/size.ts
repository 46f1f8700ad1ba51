/** Conversion of submitted task sizes to the units of placement. */
import type { JobSubmission } from "../jobs/index.js";
import type { Resources } from "../resources/index.js";

/** Converts the resources that each task of a submission requests. */
export const sizeOf = (submission: JobSubmission): Resources => ({
    processorThousandths: Math.round(submission.size.processors * 1000),
    memoryMebibytes: submission.size.memoryMebibytes,
    accelerators: submission.size.accelerators,
    slots: submission.size.slots,
    connections: submission.size.connections,
});
