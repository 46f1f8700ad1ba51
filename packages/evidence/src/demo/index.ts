/** The demo: a cell under a mixed workload whose shard owner is killed. */
import { build } from "hdr-histogram-js";
import { Cell, pause, waitUntil } from "../cell/index.js";
import { countOverCapacity, countStarts, findOverlaps, jobIdOf } from "../checks/index.js";

/**
 * Counts over live requests and jobs. `waitingP50` and `waitingP99` are percentiles of live requests' response times minus
 * their simulated run time, in milliseconds; `packing` is the share of a shard's CPU capacity that was allocated, from 0
 * to 1, the highest of all shards.
 */
export interface DemoResult {
    sent: number;
    answeredWhole: number;
    refusedWithReason: number;
    failed: number;
    runTwice: number;
    lost: number;
    overCapacity: number;
    waitingP50: number;
    waitingP99: number;
    packing: number;
    exitCodes: (number | undefined)[];
}

const workloadTimeout = 40_000;
const buildCount = 120;
const matchCount = 60;
const liveRounds = 40;
const requestsPerRound = 10;
const mebibyte = 1;
const smallSize = { processors: 4, memoryMebibytes: 4_096 * mebibyte };

const serviceJob = {
    key: "prompts",
    class: "service",
    service: "prompts",
    tasks: 6,
    size: { processors: 8, memoryMebibytes: 8_192, slots: 4, connections: 8 },
};

/** Runs the demo and checks the workers' audit. The cell's files are kept when a check fails. */
export const runDemo = async (printStep: (line: string) => void): Promise<DemoResult> => {
    printStep("starting stand-ins, three gateways and three schedulers");
    const cell = await Cell.start({ gateways: 3, schedulers: 3, workers: 30, organisation: "bayanihan" });
    const result: DemoResult = {
        sent: 0,
        answeredWhole: 0,
        refusedWithReason: 0,
        failed: 0,
        runTwice: 0,
        lost: 0,
        overCapacity: 0,
        waitingP50: 0,
        waitingP99: 0,
        packing: 0,
        exitCodes: [],
    };
    try {
        await runWorkload(cell, result, printStep);
    }
    finally {
        result.exitCodes = await cell.stop();
    }
    const audit = cell.workerAudit();
    result.runTwice = findOverlaps(audit).length;
    result.overCapacity = countOverCapacity(audit);
    if (hasPassed(result)) {
        cell.removeFiles();
    }
    else {
        printStep(`files are kept in ${cell.folder} and ${cell.auditFolder}`);
    }
    return result;
};

/**
 * Whether every request was answered completely or refused with a reason, no two runs of a task overlapped, no worker
 * exceeded its capacity, and all processes exited with 0.
 */
export const hasPassed = (result: DemoResult): boolean =>
    result.runTwice === 0 && result.lost === 0 && result.failed === 0 && result.overCapacity === 0
    && result.answeredWhole + result.refusedWithReason === result.sent
    && result.exitCodes.every(code => code === 0);

const runWorkload = async (cell: Cell, result: DemoResult, printStep: (line: string) => void): Promise<void> => {
    const deadline = performance.now() + workloadTimeout;
    const waitingTimes = build();
    await cell.caller.submitUntilSettled(serviceJob, deadline);
    await waitUntil("the service answers at every gateway", workloadTimeout, async () => {
        const answers = await Promise.all(
            cell.callerAddresses().map(() =>
                cell.caller.send({ method: "GET", path: "/services/prompts/" }).catch(() => undefined)
            ),
        );
        return answers.every(answer => answer?.status === 200);
    });
    printStep("sending live requests, builds, matches, a gang, and a job that fits nowhere");
    const liveRequests = sendLiveRequests(cell, result, waitingTimes);
    const jobs = sendJobs(cell, result, deadline);
    await pause(600);
    const owner = await cell.ownerOf();
    printStep(`killing ${owner}, which owns the shard`);
    await cell.schedulers.get(owner ?? "")?.kill();
    result.packing = await measurePacking(cell);
    await Promise.all([liveRequests, jobs]);
    result.waitingP50 = waitingTimes.getValueAtPercentile(50);
    result.waitingP99 = waitingTimes.getValueAtPercentile(99);
};

/** The highest packing of any shard, once tasks can be placed again. */
const measurePacking = async (cell: Cell): Promise<number> => {
    await cell.waitUntilPlacing();
    const shards = (await cell.schedulerStatuses()).flatMap(status => status.shards);
    return Math.max(0, ...shards.map(shard => shard.packing));
};

const sendLiveRequests = async (
    cell: Cell,
    result: DemoResult,
    waitingTimes: ReturnType<typeof build>,
): Promise<void> => {
    const sendOne = async (id: string): Promise<void> => {
        result.sent++;
        const started = performance.now();
        const answer = await cell.caller.send({
            method: "POST",
            path: "/services/prompts/render?milliseconds=20&bytes=2000",
            body: `body of ${id}`,
            headers: { "pebbledale-request-id": id },
        }).catch(() => undefined);
        if (answer?.status === 200 && answer.text === `${id}:body of ${id}${id.repeat(2000).slice(0, 2000)}`) {
            result.answeredWhole++;
            waitingTimes.recordValue(Math.max(1, Math.round(performance.now() - started - 20)));
        }
        else if (answer !== undefined && answer.status >= 400 && answer.text.includes("\"error\"")) {
            result.refusedWithReason++;
        }
        else {
            result.failed++;
        }
    };
    const running: Promise<void>[] = [];
    for (let round = 0; round < liveRounds; round++) {
        for (let index = 0; index < requestsPerRound; index++) {
            running.push(sendOne(`request-${round}-${index}`));
        }
        await pause(100);
    }
    await Promise.all(running);
};

const sendJobs = async (cell: Cell, result: DemoResult, deadline: number): Promise<void> => {
    const succeeded = new Set<string>();
    const job = (key: string, overrides: object) => ({ key, class: "batch", size: smallSize, ...overrides });
    const submissions = [
        ...Array.from(
            { length: buildCount },
            (_, index) =>
                job(`build-${index}`, {
                    unrepeatable: true,
                    payload: { runMilliseconds: 300, output: `build ${index}` },
                }),
        ),
        ...Array.from(
            { length: matchCount },
            (_, index) =>
                job(`match-${index}`, {
                    priority: "patient",
                    payload: { runMilliseconds: 400, output: `match ${index}` },
                }),
        ),
        job("gang", { class: "gang", tasks: 20, payload: { runMilliseconds: 300, output: "part" } }),
        job("too-large", { size: { processors: 1000, memoryMebibytes: 10 } }),
    ];
    await Promise.all(submissions.map(async (submission, index) => {
        await pause(index * 15);
        result.sent++;
        const accepted = await cell.caller.submitUntilSettled(submission, deadline);
        if (accepted.status >= 400) {
            result.refusedWithReason += accepted.body.reason === undefined ? 0 : 1;
            return;
        }
        const id = String(accepted.body.job);
        const view = await cell.caller.waitForEnd(id, deadline);
        if (view?.state === "succeeded" && view.outcomes.every(outcome => outcome.succeeded)) {
            succeeded.add(id);
            result.answeredWhole++;
        }
        else {
            result.lost++;
        }
    }));
    const ran = new Set([...countStarts(cell.workerAudit()).keys()].map(jobIdOf));
    const neverRan = [...succeeded].filter(id => !ran.has(id)).length;
    result.answeredWhole -= neverRan;
    result.lost += neverRan;
};
