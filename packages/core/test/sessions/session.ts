/** Replays session files against a shard's scheduler: lines that begin with ">" are commands, lines with "<" their output. */
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

interface CommandArguments {
    readonly plain: readonly string[];
    readonly named: Readonly<Record<string, string>>;
}

const parseArguments = (text: string): CommandArguments => {
    const parts = text.split(/\s+/).filter(part => part !== "");
    const named = parts.filter(part => part.includes("="));
    return {
        plain: parts.filter(part => !part.includes("=")),
        named: Object.fromEntries(
            named.map(part => [part.slice(0, part.indexOf("=")), part.slice(part.indexOf("=") + 1)]),
        ),
    };
};

const parseAttempt = (text: string): { task: TaskId; attempt: Attempt; } => {
    const [task, attempt] = text.split("#");
    return { task: task as TaskId, attempt: Number(attempt) as Attempt };
};

/** A shard's scheduler driven by commands, with a simulated clock, journal and workers. */
export class Session {
    readonly #clock = new ManualClock();
    readonly #random = new SeededRandom(1);
    readonly #journal: ShardRecord[] = [];
    readonly #uncommitted: Transition[] = [];
    #scheduler!: ShardScheduler;
    #epoch = 0;
    #reportNumber = 0;
    #isCommitPaused = false;
    #lastContact = 0;
    #output: string[] = [];

    /** Executes one command and returns its output lines. */
    execute(line: string): string[] {
        this.#output = [];
        const [command, ...rest] = line.split(" ");
        const args = parseArguments(rest.join(" "));
        const action = this.#actions[command];
        if (action === undefined) {
            throw new Error(`no such command: ${line}`);
        }
        action(args);
        return this.#output;
    }

    readonly #actions: Readonly<Record<string, (args: CommandArguments) => void>> = {
        open: () => this.#open(),
        snapshot: () => this.#open(JSON.parse(JSON.stringify(this.#scheduler.registry.snapshot())) as ShardSnapshot),
        list: args =>
            this.#apply(
                this.#scheduler.applyWorkerList(
                    args.plain.map(name => createListedWorker(name, args.named.leaving === name)),
                ),
            ),
        claim: args => this.#report(args, true),
        report: args => this.#report(args, false),
        submit: args => this.#submit(args),
        cancel: args => {
            const transition = this.#scheduler.cancel(this.#jobOf(args.plain[0]));
            this.#apply(transition ?? { records: [], effects: [] });
        },
        send: args => {
            const { task, attempt } = parseAttempt(args.plain[0]);
            const message = this.#scheduler.startMessage(task, attempt, args.named.again === "yes");
            this.#print(
                message === undefined
                    ? "not to be sent"
                    : `start ${task}#${attempt} epoch=${message.epoch} lease=${message.lease}`,
            );
        },
        accepted: args => {
            const { task, attempt } = parseAttempt(args.plain[0]);
            this.#apply(this.#scheduler.startAccepted(task, attempt, {
                task,
                attempt,
                usage: { processorThousandths: 0, memoryMebibytes: 0, accelerators: 0, slots: 0, connections: 0 },
                serviceAddress: args.named.address,
            }));
        },
        refused: args => {
            const { task, attempt } = parseAttempt(args.plain[0]);
            this.#apply(this.#scheduler.startRefused(task, attempt, args.plain[1] as WorkerRefusal | undefined));
        },
        heartbeat: args => {
            const message = this.#scheduler.nextHeartbeat(workerId(args.plain[0]), 1000);
            const names = (list: readonly { task: TaskId; attempt: Attempt; }[]) =>
                list.map(entry => `${entry.task}#${entry.attempt}`).join(",");
            this.#print(
                message === undefined
                    ? "claim first"
                    : `renews=${names(message.renewals)} acknowledges=${names(message.acknowledged)}`,
            );
        },
        wait: args => this.#clock.advance(Number(args.plain[0])),
        contact: () => {
            this.#lastContact = this.#clock.monotonic();
        },
        tick: () => this.#apply(this.#scheduler.tick()),
        schedule: args => this.#apply(this.#scheduler.schedule(args.plain[0] !== "stalled")),
        hold: () => {
            this.#isCommitPaused = true;
        },
        keep: () => {
            this.#isCommitPaused = false;
            this.#uncommitted.splice(0).forEach(transition => this.#commit(transition));
        },
        view: args => {
            const view = this.#scheduler.view(this.#jobOf(args.plain[0]));
            this.#print(
                view === undefined
                    ? "no such job"
                    : `${view.job} ${view.state} ran=${view.ran} attempts=${view.attempts} workers=${
                        view.workers.join(",")
                    }`
                        + ` outputs=${view.outcomes.map(outcome => outcome.output).join(",")} reason=${view.reason}`,
            );
        },
        slots: args => {
            const held = (args.named.held ?? "").split(",").filter(text => text !== "")
                .map(text => ({ task: text.split(":")[0] as TaskId, slots: Number(text.split(":")[1]) }));
            const grants = this.#scheduler.acquireSlots(args.plain[0], {
                gateway: processId(args.plain[1]),
                dataHall: "hall-0",
                demand: Number(args.named.demand ?? 1),
                held,
            });
            this.#print(
                grants === undefined
                    ? "no such service"
                    : grants.map(grant => `${grant.task}:${grant.slots}`).join(" ") || "none",
            );
        },
        "once-ended": args => {
            const { status } = args.named;
            this.#apply(
                this.#scheduler.endUnrepeatable(args.plain[0], status === undefined ? undefined : Number(status)),
            );
        },
        once: args => {
            const { transition, earlier } = this.#scheduler.beginUnrepeatable(
                args.plain[0],
                args.plain[1],
                args.named.send,
            );
            this.#apply(transition);
            this.#print(earlier === undefined ? "may be sent" : `sent before, status=${earlier.status ?? "unknown"}`);
        },
    };

    /** Opens the shard with a new owner. Transitions that were not committed are lost. */
    #open(snapshot?: ShardSnapshot): void {
        this.#epoch++;
        this.#uncommitted.length = 0;
        this.#isCommitPaused = false;
        this.#lastContact = this.#clock.monotonic();
        this.#scheduler = new ShardScheduler({
            shard: shardId("shard-0"),
            epoch: this.#epoch as Epoch,
            clock: this.#clock,
            random: this.#random,
            settings: () => settings,
            lastContact: () => this.#lastContact,
            hasFormerOwner: this.#epoch > 1,
        });
        this.#scheduler.recover(snapshot, snapshot === undefined ? this.#journal : []);
    }

    #submit(args: CommandArguments): void {
        const { named, plain } = args;
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
        const { transition, outcome } = this.#scheduler.submit({
            submission,
            digest: JSON.stringify(submission),
        });
        this.#print(
            outcome.kind === "accepted"
                ? `accepted ${outcome.job}${outcome.repeated ? " again" : ""}`
                : `refused ${outcome.refusal.error}: ${outcome.refusal.reason}`
                    + (outcome.refusal.retryAfter === undefined ? "" : ` retry after ${outcome.refusal.retryAfter} ms`),
        );
        this.#apply(transition);
    }

    #report(args: CommandArguments, isClaim: boolean): void {
        const { named, plain } = args;
        const worker = workerId(plain[0]);
        const report: WorkerReport = {
            worker,
            incarnation: incarnation(`${worker}-${named.incarnation ?? "1"}`),
            number: ++this.#reportNumber,
            leaving: plain.includes("leaving"),
            running: (named.running ?? "").split(",").filter(text => text !== "").map(text => ({
                ...parseAttempt(text),
                usage: { ...noResources, processorThousandths: Number(named.uses ?? 0) * 1000 },
                serviceAddress: named.address,
            })),
            ended: (named.ended ?? "").split(",").filter(text => text !== "").map(text => {
                const [attempt, kind, output] = text.split(":");
                return { ...parseAttempt(attempt), kind: kind as EndKind, output: output ?? "", ranFor: 0 };
            }),
        };
        const sentAt = this.#clock.monotonic();
        this.#apply(
            isClaim
                ? this.#scheduler.claimAnswered(worker, report, sentAt)
                : this.#scheduler.heartbeatAnswered(worker, report, sentAt),
        );
    }

    #apply(transition: Transition): void {
        transition.records.forEach(record => this.#print(`record ${describeRecord(record)}`));
        if (this.#isCommitPaused) {
            this.#uncommitted.push(transition);
            return;
        }
        this.#commit(transition);
    }

    #commit(transition: Transition): void {
        this.#journal.push(...transition.records);
        this.#scheduler.onCommitted(transition);
        for (const effect of transition.effects) {
            if (effect.kind === "start") {
                this.#print(`effect start ${effect.task}#${effect.attempt} at ${effect.worker}`);
            }
            else if (effect.kind === "throttle") {
                const { task, attempt, processorThousandths } = effect.message;
                this.#print(
                    `effect throttle ${task}#${attempt} at ${effect.worker} to ${
                        processorThousandths / 1000
                    } processors`,
                );
            }
            else if (effect.kind === "stop") {
                this.#print(
                    `effect ${effect.message.mode} ${effect.message.task}#${effect.message.attempt} at ${effect.worker}`,
                );
            }
        }
    }

    #jobOf(name: string): JobId {
        return this.#scheduler.findByKey(name) ?? name as JobId;
    }

    #print(text: string): void {
        this.#output.push(text);
    }
}

const createListedWorker = (name: string, isLeaving: boolean): ListedWorker => ({
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

/** Replays a whole file; returns its text with the output lines replaced by the current output. */
export const replay = (text: string): string => {
    const session = new Session();
    const lines: string[] = [];
    for (const line of text.split("\n")) {
        if (line.startsWith(">")) {
            lines.push(line, ...session.execute(line.slice(1).trim()).map(output => `< ${output}`));
        }
        else if (!line.startsWith("<")) {
            lines.push(line);
        }
    }
    return lines.join("\n");
};
