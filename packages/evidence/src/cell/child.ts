/** A process that the evidence started and ends again. */
import { type ChildProcess, spawn } from "node:child_process";
import { openSync, writeSync } from "node:fs";

/** How long a process may take to leave after SIGTERM before it is killed, in milliseconds. */
const leaveWithin = 30_000;

/** See the module's comment. */
export class Child {
    readonly #process: ChildProcess;
    readonly #ended: Promise<number | undefined>;
    readonly #firstLine: Promise<string>;
    #isEnded = false;

    /** `preload`: a module that is loaded before the script. */
    constructor(
        readonly name: string,
        script: string,
        parameters: readonly string[],
        logFile: string,
        preload?: string,
    ) {
        const log = openSync(logFile, "a");
        const before = preload === undefined ? [] : ["--import", preload];
        this.#process = spawn(process.execPath, [...before, script, ...parameters], { stdio: ["pipe", "pipe", log] });
        this.#ended = new Promise(resolve =>
            this.#process.once("exit", code => {
                this.#isEnded = true;
                resolve(code ?? undefined);
            })
        );
        this.#firstLine = new Promise(resolve => {
            let text = "";
            this.#process.stdout!.on("data", (chunk: Buffer) => {
                writeSync(log, chunk);
                text += chunk.toString();
                if (text.includes("\n")) {
                    resolve(text.slice(0, text.indexOf("\n")));
                }
            });
        });
    }

    /** The first line that the process printed. */
    firstLine(): Promise<string> {
        return this.#firstLine;
    }

    /** Ends the process without warning. */
    async kill(): Promise<void> {
        this.#process.kill("SIGKILL");
        await this.#ended;
    }

    /** Asks the process to leave; resolves to its exit code. */
    async stop(): Promise<number | undefined> {
        this.#process.kill("SIGTERM");
        const timer = setTimeout(() => this.#process.kill("SIGKILL"), leaveWithin);
        const code = await this.#ended;
        clearTimeout(timer);
        return code;
    }

    /** Makes the process stand still. */
    freeze(): void {
        this.#process.kill("SIGSTOP");
    }

    /** Lets the process go on. */
    thaw(): void {
        this.#process.kill("SIGCONT");
    }

    /** Whether the process has ended. */
    get isEnded(): boolean {
        return this.#isEnded;
    }
}
