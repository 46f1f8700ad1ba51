/** Queries of schedulers about shards and jobs. */
import { jobId } from "@pebbledale/core";
import {
    type JobAnswer,
    SchedulerClient,
    type SchedulerStatus,
    shardOfJob,
    shardOfText,
    type ShardStatus,
} from "@pebbledale/runtime";
import { pipe } from "fp-ts/lib/function.js";
import * as NumberInstances from "fp-ts/lib/number.js";
import * as Ord from "fp-ts/lib/Ord.js";
import * as ReadonlyArray from "fp-ts/lib/ReadonlyArray.js";
import * as ReadonlyNonEmptyArray from "fp-ts/lib/ReadonlyNonEmptyArray.js";
import * as ReadonlyRecord from "fp-ts/lib/ReadonlyRecord.js";
import * as StringInstances from "fp-ts/lib/string.js";
import type { OperatorValues } from "../cli/operator-command.js";
import { OperatorError } from "../output/index.js";

/** Timeout of a query to one scheduler, in milliseconds. */
const answerTimeout = 2_000;

const withSchedulerClients = async <Answer>(
    values: OperatorValues,
    action: (clients: SchedulerClient[]) => Promise<Answer>,
): Promise<Answer> => {
    const clients = values["peers.schedulers"].map(address => new SchedulerClient(address));
    try {
        return await action(clients);
    }
    finally {
        await Promise.all(clients.map(client => client.close().catch(() => undefined)));
    }
};

/** A scheduler that was queried; `status` is undefined if it did not answer. */
export interface QueriedScheduler {
    readonly address: string;
    readonly status: SchedulerStatus | undefined;
}

/** Queries the status of every scheduler of the settings file. */
export const fetchStatuses = (values: OperatorValues): Promise<QueriedScheduler[]> =>
    withSchedulerClients(values, clients =>
        Promise.all(clients.map(async client => ({
            address: client.address,
            status: await client.call(answerTimeout, (calls, signal) => calls.status.query(undefined, { signal }))
                .catch(() => undefined),
        }))));

/** A shard with the scheduler that reports to own it. */
export interface OwnedShardStatus {
    readonly owner: SchedulerStatus;
    readonly shard: ShardStatus;
}

const byEpoch = Ord.contramap((owned: OwnedShardStatus) => Number(owned.shard.epoch))(NumberInstances.Ord);
const byShard = Ord.contramap((owned: OwnedShardStatus) => String(owned.shard.shard))(StringInstances.Ord);

/** Returns the owned shards sorted by id; of several claims to one shard, that with the highest epoch. */
export const ownedShards = (schedulers: readonly QueriedScheduler[]): readonly OwnedShardStatus[] =>
    pipe(
        schedulers,
        ReadonlyArray.chain(({ status }) => (status?.shards ?? []).map(shard => ({ owner: status!, shard }))),
        ReadonlyNonEmptyArray.groupBy(owned => owned.shard.shard),
        ReadonlyRecord.map(ReadonlyNonEmptyArray.max(byEpoch)),
        ReadonlyRecord.toReadonlyArray,
        ReadonlyArray.map(([, owned]) => owned),
        ReadonlyArray.sort(byShard),
    );

/**
 * Fetches a job with its decisions. `name`: the job's id, or its key, written `key:KEY` or without a dot.
 *
 * Rejects with {@link OperatorError} if no scheduler knows the job, or none answers for its shard.
 */
export const fetchJob = (values: OperatorValues, name: string): Promise<JobAnswer> =>
    withSchedulerClients(values, async clients => {
        const isKey = name.startsWith("key:") || !name.includes(".");
        const key = name.replace(/^key:/, "");
        const shard = isKey ? shardOfText(key, values["cell.shards"]) : shardOfJob(jobId(name));
        const jobRequest = isKey ? { shard, key } : { shard, job: jobId(name) };
        const answers = await Promise.all(
            clients.map(client =>
                client.call(answerTimeout, (calls, signal) => calls.view.query(jobRequest, { signal })).catch(() =>
                    undefined
                )
            ),
        );
        const found = answers.find(answer => answer?.kind === "job");
        if (found?.kind === "job") {
            return found;
        }
        throw new OperatorError(answers.some(answer => answer?.kind === "no-job") ? "no-such-job" : "no-owner");
    });
