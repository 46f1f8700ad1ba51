/** Admission control: refuses jobs that can never run, and jobs that the queue has no space for. */
import { pipe } from "fp-ts/lib/function.js";
import * as Number from "fp-ts/lib/number.js";
import * as Option from "fp-ts/lib/Option.js";
import * as Ord from "fp-ts/lib/Ord.js";
import * as ReadonlyArray from "fp-ts/lib/ReadonlyArray.js";
import * as ReadonlyNonEmptyArray from "fp-ts/lib/ReadonlyNonEmptyArray.js";
import type { JobSubmission } from "../jobs/index.js";
import { policyOf } from "../placement/index.js";
import { dimensions, lackingDimensions, multiplyResources, type Resources } from "../resources/index.js";
import type { Milliseconds } from "../time/index.js";
import { queueShares } from "./constants.js";
import type { ShardSettings } from "./settings.js";
import { sizeOf } from "./size.js";
import type { Refusal } from "./types.js";
import type { CapacityShape } from "./worker-table.js";

/** State of the shard that admission depends on. */
export interface AdmissionContext {
    /** Workers grouped by capacity; undefined until the list of VMs has been read. */
    readonly shapes: readonly CapacityShape[] | undefined;
    /** Number of pending units. */
    readonly queueLength: number;
    readonly settings: ShardSettings;
    /** Estimates the wait at a position of the queue. */
    readonly expectedWait: (position: number) => Milliseconds;
}

interface UsableShape extends CapacityShape {
    readonly available: Resources;
}

/** Suggested retry delay until the list of VMs has been read. */
const workerListRetryAfter: Milliseconds = 1_000;

/** Returns the reason to refuse a submission; undefined when it may be accepted. */
export const checkAdmission = (submission: JobSubmission, context: AdmissionContext): Refusal | undefined => {
    const { shapes } = context;
    if (shapes === undefined) {
        return {
            error: "no-workers",
            reason: "the list of VMs has not been read yet",
            retryAfter: workerListRetryAfter,
        };
    }
    return sizeRefusal(submission, shapes, context.settings)
        ?? quotaRefusal(submission, context.settings)
        ?? queueRefusal(submission, context)
        ?? deadlineRefusal(submission);
};

const countPlacedTogether = (submission: JobSubmission): number =>
    policyOf(submission.class).allOrNothing ? submission.tasks : 1;

const sizeRefusal = (
    submission: JobSubmission,
    shapes: readonly CapacityShape[],
    { placement }: ShardSettings,
): Refusal | undefined => {
    const size = sizeOf(submission);
    const headroom = policyOf(submission.class).headroom(placement);
    const usable = shapes.map((shape): UsableShape => ({
        ...shape,
        available: withoutHeadroom(shape.capacity, headroom),
    }));
    const taskCapacity = usable.reduce((sum, { available, count }) => sum + countFitting(size, available) * count, 0);
    if (taskCapacity === 0) {
        return { error: "fits-nowhere", reason: describeNearestMiss(size, usable) };
    }
    const needed = countPlacedTogether(submission);
    return taskCapacity >= needed ? undefined : {
        error: "fits-nowhere",
        reason: `all ${needed} tasks must run at once and the shard holds at most ${taskCapacity} of this size`,
    };
};

const quotaRefusal = (submission: JobSubmission, { quotas }: ShardSettings): Refusal | undefined => {
    const { team } = submission;
    const quota = quotas.get(team);
    const needed = multiplyResources(sizeOf(submission), countPlacedTogether(submission));
    const lacking = quota === undefined ? undefined : dimensions.find(name => needed[name] > (quota[name] ?? Infinity));
    return lacking === undefined ? undefined : {
        error: "quota-too-small",
        reason: `team ${team} may hold ${quota![lacking]} of ${lacking} and the job needs ${needed[lacking]}`,
    };
};

const queueRefusal = (submission: JobSubmission, context: AdmissionContext): Refusal | undefined => {
    const limit = context.settings.queueLimit * queueShares[submission.priority];
    const units = policyOf(submission.class).allOrNothing ? 1 : submission.tasks;
    const after = context.queueLength + units;
    return after <= limit ? undefined : {
        error: "queue-full",
        reason: `${context.queueLength} wait, ${limit} may at this priority`,
        retryAfter: context.expectedWait(after - limit),
    };
};

const deadlineRefusal = (submission: JobSubmission): Refusal | undefined => {
    const { deadlineMilliseconds: deadline, expectedRunMilliseconds: run = 0 } = submission;
    return deadline === undefined || run <= deadline ? undefined : {
        error: "deadline-cannot-be-met",
        reason: `it is expected to run ${run} ms and is due in ${deadline} ms`,
    };
};

const withoutHeadroom = (capacity: Resources, headroom: number): Resources => ({
    ...capacity,
    processorThousandths: capacity.processorThousandths * (1 - headroom),
});

const countFitting = (size: Resources, available: Resources): number =>
    Math.min(...dimensions.filter(name => size[name] > 0).map(name => Math.floor(available[name] / size[name])));

/** Describes the worker that falls short in the fewest dimensions. */
const describeNearestMiss = (size: Resources, shapes: readonly UsableShape[]): string => {
    const byLack = Ord.contramap((shape: UsableShape) => lackingDimensions(size, shape.available).length)(Number.Ord);
    const describe = ({ example, available }: UsableShape): string => {
        const lacking = lackingDimensions(size, available).map(name => `${name} ${size[name]} of ${available[name]}`);
        return `no worker holds it; the nearest is ${example}, which lacks ${lacking.join(", ")}`;
    };
    return pipe(
        shapes,
        ReadonlyArray.sort(byLack),
        ReadonlyNonEmptyArray.fromReadonlyArray,
        Option.match(() => "the shard has no workers", sorted => describe(ReadonlyNonEmptyArray.head(sorted))),
    );
};
