/** Proof of guarantee 8. */
import { type Cell, pause, waitUntil } from "../../cell/index.js";
import { shortTimeoutSettings } from "../../cell/settings-files.js";
import type { Proof } from "../types.js";

/** Time within which an accepted revision must be in force in all processes, in milliseconds. */
const propagationTimeout = 6_000;
const racingOperators = 6;

/**
 * Accepted settings are in force in all processes within seconds and never revert. Several operators accept a revision at
 * the same time, the platform loses responses, and processes are restarted while it is unavailable.
 */
export const settingsProof: Proof = {
    point: 8,
    name: "accepted settings are in force within seconds and never revert",
    failures: "operators race, lost answers, processes replaced while the platform is down",
    protection: "learning from peers",
    cell: { gateways: 2, schedulers: 2 },
    async run(cell) {
        const breaches: string[] = [];
        const highestRevisions = new Map<string, number>();
        const end = new AbortController();
        const monitoring = monitorRevisions(cell, highestRevisions, breaches, end.signal);
        await cell.controlPlatform({ loseAnswers: 2 });
        const races = await Promise.allSettled(
            Array.from(
                { length: racingOperators },
                (_, index) => cell.acceptSettings(`${shortTimeoutSettings}\n; operator ${index}\n`, 1),
            ),
        );
        const accepted = races.filter(race => race.status === "fulfilled").length;
        if (accepted !== 1) {
            breaches.push(`${accepted} operators were told that revision 2 is theirs`);
        }
        await expectInForce(cell, 2, breaches);
        await cell.acceptSettings(`${shortTimeoutSettings}\n; third\n`, 2);
        await expectInForce(cell, 3, breaches);
        await cell.controlPlatform({ outage: true });
        // The restarted processes cannot read the settings from the platform, only from their peers.
        await cell.gateways.get("gateway-0")?.kill();
        const otherIndex = await cell.ownerOf() === "scheduler-0" ? 1 : 0;
        await cell.schedulers.get(`scheduler-${otherIndex}`)?.kill();
        highestRevisions.delete("gateway-0");
        highestRevisions.delete(`scheduler-${otherIndex}`);
        cell.startGateway(0);
        await cell.startScheduler(otherIndex);
        await expectInForce(cell, 3, breaches);
        await cell.controlPlatform({ outage: false });
        await cell.acceptSettings(`${shortTimeoutSettings}\n; fourth\n`, 3);
        await expectInForce(cell, 4, breaches);
        end.abort();
        await monitoring;
        return {
            breaches,
            evidence:
                `1 of ${racingOperators} racing operators won; 3 revisions in force in all 4 processes within ${propagationTimeout} ms`,
            isMeaningful: highestRevisions.size === 4,
        };
    },
};

/** Records the highest revision seen in each process until `end`, and a breach where a process reverts. */
const monitorRevisions = async (
    cell: Cell,
    highestRevisions: Map<string, number>,
    breaches: string[],
    end: AbortSignal,
): Promise<void> => {
    while (!end.aborted) {
        for (const [name, revision] of await cell.settingsRevisions()) {
            const highest = highestRevisions.get(name) ?? 0;
            // A restarted process may report 0 until it is ready; it serves no requests before.
            if (revision < highest && revision > 0) {
                breaches.push(`${name} went back from revision ${highest} to ${revision}`);
            }
            highestRevisions.set(name, Math.max(highest, revision));
        }
        await pause(50);
    }
};

const expectInForce = async (cell: Cell, revision: number, breaches: string[]): Promise<void> => {
    const isInForceEverywhere = async () => {
        const revisions = await cell.settingsRevisions();
        return revisions.size === 4 && [...revisions.values()].every(seenRevision => seenRevision >= revision);
    };
    await waitUntil(`revision ${revision} is in force everywhere`, propagationTimeout, isInForceEverywhere)
        .catch((cause: Error) => breaches.push(cause.message));
};
