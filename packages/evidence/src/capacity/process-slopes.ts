/** Costs of real processes on loopback, read from their metrics. */
import { request } from "undici";
import { Cell, pause } from "../cell/index.js";
import { createJob, sendLiveRequest, startService, submitAll, waitForAll } from "../prove/proofs/workload.js";
import type { Slope } from "./types.js";

const restSeconds = 6;
const requestCount = 3_000;
const requestsPerBatch = 40;
const jobCount = 600;
const jobsPerBatch = 60;

interface ProcessReading {
    readonly processorSeconds: number;
    readonly memoryBytes: number;
    readonly platformCalls: number;
}

const readMetrics = async (address: string): Promise<ProcessReading> => {
    const answer = await request(`http://${address}/metrics`);
    const text = await answer.body.text();
    const sum = (pattern: RegExp) => [...text.matchAll(pattern)].reduce((total, match) => total + Number(match[1]), 0);
    return {
        processorSeconds: sum(/^process_cpu_seconds_total (\S+)/gm),
        memoryBytes: sum(/^process_resident_memory_bytes (\S+)/gm),
        platformCalls: sum(/^pebbledale_platform_calls_total\{[^}]*\} (\S+)/gm),
    };
};

/**
 * Measures processor time, memory and platform calls of a cell of 30 workers when idle, under live requests and under
 * jobs.
 */
export const measureProcessSlopes = async (): Promise<Slope[]> => {
    const slopes: Slope[] = [];
    const add = (role: string, what: string, value: number, unit: string) => slopes.push({ role, what, value, unit });
    const settingsTree = "[organisation]\nworker.heartbeat = 1s\nlive.wait_limit = 5s\n";
    const cell = await Cell.start({
        gateways: 1,
        schedulers: 2,
        workers: 30,
        organisation: "bayanihan",
        settingsTree,
        ownerLease: "3s",
    });
    try {
        await startService(cell, 20);
        const owner = Number((await cell.ownerOf())?.slice("scheduler-".length));
        const ownerAddress = cell.topology.schedulers[owner];
        const idleAddress = cell.topology.schedulers[1 - owner];
        const gateway = cell.administrationAddresses[0];
        const readAll = async () => ({
            owner: await readMetrics(ownerAddress),
            idle: await readMetrics(idleAddress),
            gateway: await readMetrics(gateway),
            counts: await cell.platformCounts(),
        });
        await pause(2_000);

        const beforeRest = await readAll();
        await pause(restSeconds * 1_000);
        const afterRest = await readAll();
        for (const role of ["owner", "idle", "gateway"] as const) {
            const name = role === "idle"
                ? "scheduler without a shard"
                : role === "owner"
                ? "scheduler with a shard of 30"
                : "gateway";
            add(
                name,
                "processor at rest",
                (afterRest[role].processorSeconds - beforeRest[role].processorSeconds) / restSeconds * 100,
                "% of a core",
            );
            add(name, "memory at rest", afterRest[role].memoryBytes / 1_048_576, "MiB");
            add(
                name,
                "platform calls at rest",
                (afterRest[role].platformCalls - beforeRest[role].platformCalls) / restSeconds,
                "/s",
            );
        }

        const requestsStarted = performance.now();
        for (let sent = 0; sent < requestCount; sent += requestsPerBatch) {
            await Promise.all(
                Array.from({ length: requestsPerBatch }, (_, index) => sendLiveRequest(cell, `r-${sent + index}`, 0)),
            );
        }
        const afterRequests = await readAll();
        const requestSeconds = (performance.now() - requestsStarted) / 1_000;
        add(
            "gateway",
            "processor a live request",
            (afterRequests.gateway.processorSeconds - afterRest.gateway.processorSeconds) / requestCount * 1e6,
            "us",
        );
        add(
            "scheduler with a shard of 30",
            "processor a live request",
            (afterRequests.owner.processorSeconds - afterRest.owner.processorSeconds) / requestCount * 1e6,
            "us",
        );
        add("gateway", "live requests in this run", requestCount / requestSeconds, "/s");

        const submissions = Array.from(
            { length: jobCount },
            (_, index) => createJob(`job-${index}`, { payload: { runMilliseconds: 20 } }),
        );
        const jobsStarted = performance.now();
        for (let sent = 0; sent < jobCount; sent += jobsPerBatch) {
            const ids = await submitAll(cell, submissions.slice(sent, sent + jobsPerBatch));
            await waitForAll(cell, ids.values());
        }
        const afterJobs = await readAll();
        const jobSeconds = (performance.now() - jobsStarted) / 1_000;
        add(
            "scheduler with a shard of 30",
            "processor a job of one task",
            (afterJobs.owner.processorSeconds - afterRequests.owner.processorSeconds) / jobCount * 1e6,
            "us",
        );
        add(
            "gateway",
            "processor a job (submit and wait)",
            (afterJobs.gateway.processorSeconds - afterRequests.gateway.processorSeconds) / jobCount * 1e6,
            "us",
        );
        add(
            "platform",
            "writes a job in this run",
            (afterJobs.counts.writes - afterRequests.counts.writes) / jobCount,
            "",
        );
        add(
            "platform",
            "bytes written a job in this run",
            (afterJobs.counts.bytesWritten - afterRequests.counts.bytesWritten) / jobCount,
            "bytes",
        );
        add(
            "platform",
            "writes a second while jobs ran",
            (afterJobs.counts.writes - afterRequests.counts.writes) / jobSeconds,
            "/s",
        );
        add("platform", "jobs a second in this run", jobCount / jobSeconds, "/s");
        return slopes;
    }
    finally {
        await cell.stop();
        cell.removeFiles();
    }
};
