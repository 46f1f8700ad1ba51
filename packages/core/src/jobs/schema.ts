/** Validation of job submissions. */
import * as z from "zod";

/** Workload classes, each with its own placement policy. */
export enum WorkloadClass {
    Batch = "batch",
    Gang = "gang",
    Service = "service",
}

/** Priority classes, most urgent first. */
export enum Priority {
    Urgent = "urgent",
    Normal = "normal",
    Patient = "patient",
}

const limits = { tasks: 10_000, key: 200, processors: 100_000, memoryMebibytes: 100_000_000, count: 100_000 };
const maxRunDuration = 7 * 24 * 3_600_000;

const sizeSchema = z.strictObject({
    processors: z.number().positive().max(limits.processors),
    memoryMebibytes: z.number().int().positive().max(limits.memoryMebibytes),
    accelerators: z.number().int().min(0).max(limits.count).default(0),
    slots: z.number().int().min(1).max(limits.count).default(1),
    connections: z.number().int().min(0).max(limits.count).default(0),
});

const nameSchema = z.string().regex(
    /^[A-Za-z0-9][A-Za-z0-9._-]*$/,
    "must be letters, digits, dots, underscores and hyphens",
).max(limits.key);

/** Schema of a job submission. Unknown fields are rejected. Durations are in milliseconds. */
export const jobSubmissionSchema = z.strictObject({
    key: nameSchema.optional(),
    class: z.enum(WorkloadClass),
    team: nameSchema.default("default"),
    service: nameSchema.optional(),
    priority: z.enum(Priority).default(Priority.Normal),
    unrepeatable: z.boolean().default(false),
    deadlineMilliseconds: z.number().int().positive().max(maxRunDuration).optional(),
    expectedRunMilliseconds: z.number().int().positive().max(maxRunDuration).optional(),
    tasks: z.number().int().min(1).max(limits.tasks).default(1),
    size: sizeSchema,
    payload: z.json().default({}),
}).superRefine((value, context) => {
    if (value.class === WorkloadClass.Service && value.service === undefined) {
        context.addIssue({ code: "custom", path: ["service"], message: "a job of class service names its service" });
    }
    if (value.class === WorkloadClass.Service && value.unrepeatable) {
        context.addIssue({
            code: "custom",
            path: ["unrepeatable"],
            message: "a service restarts; it cannot be unrepeatable",
        });
    }
});

/** A validated submission with defaults filled in. */
export type JobSubmission = z.infer<typeof jobSubmissionSchema>;
