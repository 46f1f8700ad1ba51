/**
 * Preloaded into the system's processes (`node --import`) to remove one protection, so that a proof can be shown to fail
 * without it. The system has no switch for this; methods of its classes are replaced.
 */
import {
    FleetIndex,
    JobRegistry,
    LeasePolicy,
    type ListedWorker,
    ShardScheduler,
    VmState,
    WorkerRefusal,
    type WorkerReport,
} from "@pebbledale/core";
import { Forwarder, type LiveRequest, type SendOutcome } from "@pebbledale/gateway";
import { HttpWorkerClient, SettingsWatch } from "@pebbledale/runtime";
import type { ServerResponse } from "node:http";
import { request as send } from "undici";

/** Environment variable that names the protection to remove. */
export const removedProtectionVariable = "PEBBLEDALE_EVIDENCE_WITHOUT";

const removals: Readonly<Record<string, () => void>> = {
    "counting of grants": () => {
        FleetIndex.prototype.reserve = () => undefined;
        FleetIndex.prototype.release = () => undefined;
    },
    "wait for a former owner's leases": () => {
        LeasePolicy.prototype.formerTerms = () => ({ horizon: 0, leaseDuration: 0, leaseMargin: 0 });
    },
    "check of an answer": () => {
        Forwarder.prototype.send = sendWithoutChecks;
    },
    "doubt about a start without an answer": () => {
        const start = HttpWorkerClient.prototype.start;
        HttpWorkerClient.prototype.start = function(message, signal) {
            return start.call(this, message, signal).catch(() => ({
                kind: "refused" as const,
                refusal: WorkerRefusal.NoRoom,
            }));
        };
    },
    "memory of a caller's key": () => {
        JobRegistry.prototype.findByKey = () => undefined;
    },
    "heed of leaving VMs": () => {
        const { applyWorkerList, claimAnswered, heartbeatAnswered } = ShardScheduler.prototype;
        const hideLeaving = (report: WorkerReport): WorkerReport => ({ ...report, leaving: false });
        ShardScheduler.prototype.applyWorkerList = function(workers: readonly ListedWorker[]) {
            return applyWorkerList.call(this, workers.map(worker => ({ ...worker, state: VmState.Live })));
        };
        ShardScheduler.prototype.claimAnswered = function(worker, report, sentAt) {
            return claimAnswered.call(this, worker, hideLeaving(report), sentAt);
        };
        ShardScheduler.prototype.heartbeatAnswered = function(worker, report, sentAt) {
            return heartbeatAnswered.call(this, worker, hideLeaving(report), sentAt);
        };
    },
    "learning from peers": () => {
        SettingsWatch.prototype.fetchFromPeers = () => Promise.resolve();
    },
};

/** Forwards a response without checking that it is complete and belongs to the request. */
async function sendWithoutChecks(request: LiveRequest, address: string, reply: ServerResponse): Promise<SendOutcome> {
    const answer = await send(`http://${address}${request.path}`, {
        method: request.method as "POST",
        headers: { "pebbledale-request-id": request.id },
        body: request.body,
    });
    const chunks: Buffer[] = [];
    try {
        for await (const chunk of answer.body) {
            chunks.push(chunk as Buffer);
        }
    }
    catch {
        // Forwards the truncated response.
    }
    reply.writeHead(answer.statusCode).end(Buffer.concat(chunks));
    return { kind: "answered", status: answer.statusCode };
}

removals[process.env[removedProtectionVariable] ?? ""]?.();
