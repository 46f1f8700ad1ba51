/** Sizes of jobs in the units of placement. */
import type { JobSubmission } from "../jobs/index.js";
import type { Resources } from "../resources/index.js";

/** The size that each task of a submission asks for. */
export const sizeOf = (submission: JobSubmission): Resources => ({
    processorThousandths: Math.round(submission.size.processors * 1000),
    memoryMebibytes: submission.size.memoryMebibytes,
    accelerators: submission.size.accelerators,
    slots: submission.size.slots,
    connections: submission.size.connections,
});
