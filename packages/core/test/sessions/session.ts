/** Runs a session file against the decisions of a shard: lines that begin with ">" go in, lines with "<" come out. */
import {
    type Attempt,
    EndKind,
    type Epoch,
    incarnation,
    type JobId,
    jobSubmissionSchema,
    type ListedWorker,
    ManualClock,
    noResources,
    parseSettingsTree,
    processId,
    SeededRandom,
    shardId,
    type ShardRecord,
    ShardScheduler,
    shardSettingsOf,
    type ShardSnapshot,
    type TaskId,
    type Transition,
    VmState,
    workerId,
    WorkerRefusal,
    type WorkerReport,
} from "../../src/index.js";

const tree = parseSettingsTree(`[organisation]
lease.duration = 10s
lease.margin = 1s
owner.horizon = 60s
worker.silent_after = 3s
placement.headroom = 0%
placement.gang_patience = 5s
retry.delay = 1s
retry.attempts = 2
result.retention = 1h
live.slot_grant = 10s
`)._unsafeUnwrap();
const settings = shardSettingsOf(tree, {});

interface Words {
    readonly plain: readonly string[];
    readonly named: Readonly<Record<string, string>>;
}

const readWords = (text: string): Words => {
    const parts = text.split(/\s+/).filter(part => part !== "");
    const named = parts.filter(part => part.includes("="));
    return {
        plain: parts.filter(part => !part.includes("=")),
        named: Object.fromEntries(
            named.map(part => [part.slice(0, part.indexOf("=")), part.slice(part.indexOf("=") + 1)]),
        ),
    };
};

const readAttempt = (text: string): { task: TaskId; attempt: Attempt; } => {
    const [task, attempt] = text.split("#");
    return { task: task as TaskId, attempt: Number(attempt) as Attempt };
};

/** One session. */
export class Session {
    readonly #clock = new ManualClock();
    readonly #random = new SeededRandom(1);
    readonly #journal: ShardRecord[] = [];
    readonly #held: Transition[] = [];
    #core!: ShardScheduler;
    #epoch = 0;
    #number = 0;
    #isHolding = false;
    #lastContact = 0;
    #output: string[] = [];

    /** Carries one line out; the lines that came out. */
    run(line: string): string[] {
        this.#output = [];
        const [command, ...rest] = line.split(" ");
        const words = readWords(rest.join(" "));
        const action = this.#actions[command];
        if (action === undefined) {
            throw new Error(`no such command: ${line}`);
        }
        action(words);
        return this.#output;
    }

    readonly #actions: Readonly<Record<string, (words: Words) => void>> = {
        open: () => this.#open(),
        snapshot: () => this.#open(JSON.parse(JSON.stringify(this.#core.registry.snapshot())) as ShardSnapshot),
        list: words =>
            this.#take(this.#core.applyWorkerList(words.plain.map(name => listed(name, words.named.leaving === name)))),
        claim: words => this.#report(words, true),
        report: words => this.#report(words, false),
        submit: words => this.#submit(words),
        cancel: words => {
            const step = this.#core.cancel(this.#jobOf(words.plain[0]));
            this.#take(step ?? { records: [], effects: [] });
        },
        send: words => {
            const { task, attempt } = readAttempt(words.plain[0]);
            const message = this.#core.startMessage(task, attempt, words.named.again === "yes");
            this.#say(
                message === undefined
                    ? "not to be sent"
                    : `start ${task}#${attempt} epoch=${message.epoch} lease=${message.lease}`,
            );
        },
        accepted: words => {
            const { task, attempt } = readAttempt(words.plain[0]);
            this.#take(this.#core.startAccepted(task, attempt, {
                task,
                attempt,
                usage: { processorThousandths: 0, memoryMebibytes: 0, accelerators: 0, slots: 0, connections: 0 },
                serviceAddress: words.named.address,
            }));
        },
        refused: words => {
            const { task, attempt } = readAttempt(words.plain[0]);
            this.#take(this.#core.startRefused(task, attempt, words.plain[1] as WorkerRefusal | undefined));
        },
        heartbeat: words => {
            const message = this.#core.nextHeartbeat(workerId(words.plain[0]), 1000);
            const names = (list: readonly { task: TaskId; attempt: Attempt; }[]) =>
                list.map(entry => `${entry.task}#${entry.attempt}`).join(",");
            this.#say(
                message === undefined
                    ? "claim first"
                    : `renews=${names(message.renewals)} acknowledges=${names(message.acknowledged)}`,
            );
        },
        wait: words => this.#clock.advance(Number(words.plain[0])),
        contact: () => {
            this.#lastContact = this.#clock.monotonic();
        },
        tick: () => this.#take(this.#core.tick()),
        schedule: words => this.#take(this.#core.schedule(words.plain[0] !== "stalled")),
        hold: () => {
            this.#isHolding = true;
        },
        keep: () => {
            this.#isHolding = false;
            this.#held.splice(0).forEach(step => this.#keep(step));
        },
        view: words => {
            const view = this.#core.view(this.#jobOf(words.plain[0]));
            this.#say(
                view === undefined
                    ? "no such job"
                    : `${view.job} ${view.state} ran=${view.ran} attempts=${view.attempts} workers=${
                        view.workers.join(",")
                    }`
                        + ` outputs=${view.outcomes.map(outcome => outcome.output).join(",")} reason=${view.reason}`,
            );
        },
        slots: words => {
            const held = (words.named.held ?? "").split(",").filter(text => text !== "")
                .map(text => ({ task: text.split(":")[0] as TaskId, slots: Number(text.split(":")[1]) }));
            const grants = this.#core.acquireSlots(words.plain[0], {
                gateway: processId(words.plain[1]),
                dataHall: "hall-0",
                demand: Number(words.named.demand ?? 1),
                held,
            });
            this.#say(
                grants === undefined
                    ? "no such service"
                    : grants.map(grant => `${grant.task}:${grant.slots}`).join(" ") || "none",
            );
        },
        "once-ended": words => {
            const { status } = words.named;
            this.#take(this.#core.endUnrepeatable(words.plain[0], status === undefined ? undefined : Number(status)));
        },
        once: words => {
            const { transition: step, earlier } = this.#core.beginUnrepeatable(
                words.plain[0],
                words.plain[1],
                words.named.send,
            );
            this.#take(step);
            this.#say(earlier === undefined ? "may be sent" : `sent before, status=${earlier.status ?? "unknown"}`);
        },
    };

    /** A new owner takes over what the journal holds; what was not kept is lost with the old one. */
    #open(snapshot?: ShardSnapshot): void {
        this.#epoch++;
        this.#held.length = 0;
        this.#isHolding = false;
        this.#lastContact = this.#clock.monotonic();
        this.#core = new ShardScheduler({
            shard: shardId("shard-0"),
            epoch: this.#epoch as Epoch,
            clock: this.#clock,
            random: this.#random,
            settings: () => settings,
            lastContact: () => this.#lastContact,
            hasFormerOwner: this.#epoch > 1,
        });
        this.#core.recover(snapshot, snapshot === undefined ? this.#journal : []);
    }

    #submit(words: Words): void {
        const { named, plain } = words;
        const submission = jobSubmissionSchema.parse({
            key: plain[0],
            class: named.class ?? "batch",
            team: named.team ?? "default",
            service: named.service,
            priority: named.priority ?? "normal",
            unrepeatable: plain.includes("unrepeatable"),
            tasks: Number(named.tasks ?? 1),
            deadlineMilliseconds: named.deadline === undefined ? undefined : Number(named.deadline),
            expectedRunMilliseconds: named.run === undefined ? undefined : Number(named.run),
            size: {
                processors: Number(named.processors ?? 4),
                memoryMebibytes: Number(named.memory ?? 1024),
                slots: Number(named.slots ?? 1),
            },
        });
        const { transition: step, outcome } = this.#core.submit({ submission, digest: JSON.stringify(submission) });
        this.#say(
            outcome.kind === "accepted"
                ? `accepted ${outcome.job}${outcome.repeated ? " again" : ""}`
                : `refused ${outcome.refusal.error}: ${outcome.refusal.reason}`
                    + (outcome.refusal.retryAfter === undefined ? "" : ` retry after ${outcome.refusal.retryAfter} ms`),
        );
        this.#take(step);
    }

    #report(words: Words, isClaim: boolean): void {
        const { named, plain } = words;
        const worker = workerId(plain[0]);
        const report: WorkerReport = {
            worker,
            incarnation: incarnation(`${worker}-${named.incarnation ?? "1"}`),
            number: ++this.#number,
            leaving: plain.includes("leaving"),
            running: (named.running ?? "").split(",").filter(text => text !== "").map(text => ({
                ...readAttempt(text),
                usage: { ...noResources, processorThousandths: Number(named.uses ?? 0) * 1000 },
                serviceAddress: named.address,
            })),
            ended: (named.ended ?? "").split(",").filter(text => text !== "").map(text => {
                const [attempt, kind, output] = text.split(":");
                return { ...readAttempt(attempt), kind: kind as EndKind, output: output ?? "", ranFor: 0 };
            }),
        };
        const sentAt = this.#clock.monotonic();
        this.#take(
            isClaim
                ? this.#core.claimAnswered(worker, report, sentAt)
                : this.#core.heartbeatAnswered(worker, report, sentAt),
        );
    }

    #take(step: Transition): void {
        step.records.forEach(record => this.#say(`record ${describeRecord(record)}`));
        if (this.#isHolding) {
            this.#held.push(step);
            return;
        }
        this.#keep(step);
    }

    #keep(step: Transition): void {
        this.#journal.push(...step.records);
        this.#core.onCommitted(step);
        for (const effect of step.effects) {
            if (effect.kind === "start") {
                this.#say(`effect start ${effect.task}#${effect.attempt} at ${effect.worker}`);
            }
            else if (effect.kind === "throttle") {
                const { task, attempt, processorThousandths } = effect.message;
                this.#say(
                    `effect throttle ${task}#${attempt} at ${effect.worker} to ${
                        processorThousandths / 1000
                    } processors`,
                );
            }
            else if (effect.kind === "stop") {
                this.#say(
                    `effect ${effect.message.mode} ${effect.message.task}#${effect.message.attempt} at ${effect.worker}`,
                );
            }
        }
    }

    #jobOf(name: string): JobId {
        return this.#core.findByKey(name) ?? name as JobId;
    }

    #say(text: string): void {
        this.#output.push(text);
    }
}

const listed = (name: string, isLeaving: boolean): ListedWorker => ({
    worker: workerId(name),
    address: "127.0.0.1:1",
    rack: "rack-0",
    dataHall: "hall-0",
    region: "luzon",
    state: isLeaving ? VmState.Leaving : VmState.Live,
    capacity: { processorThousandths: 64_000, memoryMebibytes: 131_072, accelerators: 0, slots: 8, connections: 64 },
});

const describeRecord = (record: ShardRecord): string => {
    const { kind, ...fields } = record;
    const text = JSON.stringify(
        fields,
        (key, value: unknown) =>
            ["at", "digest", "nonce", "submission", "grant", "incarnation"].includes(key) ? undefined : value,
    );
    return `${kind} ${text}`;
};

/** Runs a whole file: its lines with the answers as they come out now. */
export const replay = (text: string): string => {
    const session = new Session();
    const lines: string[] = [];
    for (const line of text.split("\n")) {
        if (line.startsWith(">")) {
            lines.push(line, ...session.run(line.slice(1).trim()).map(output => `< ${output}`));
        }
        else if (!line.startsWith("<")) {
            lines.push(line);
        }
    }
    return lines.join("\n");
};
