/** A process that the evidence started and ends again. */
import { type ChildProcess, spawn } from "node:child_process";
import { openSync, writeSync } from "node:fs";

/** How long a process may take to leave after SIGTERM before it is killed, in milliseconds. */
const exitTimeout = 30_000;

/** See the module's comment. */
export class ManagedProcess {
    readonly #process: ChildProcess;
    readonly #exited: Promise<number | undefined>;
    readonly #firstLine: Promise<string>;
    #hasExited = false;

    /** `preload`: a module that is loaded before the script. */
    constructor(
        readonly name: string,
        script: string,
        parameters: readonly string[],
        logFile: string,
        preload?: string,
    ) {
        const log = openSync(logFile, "a");
        const nodeArguments = preload === undefined ? [] : ["--import", preload];
        this.#process = spawn(process.execPath, [...nodeArguments, script, ...parameters], {
            stdio: ["pipe", "pipe", log],
        });
        this.#exited = new Promise(resolve =>
            this.#process.once("exit", code => {
                this.#hasExited = true;
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
        await this.#exited;
    }

    /** Asks the process to leave; resolves to its exit code. */
    async stop(): Promise<number | undefined> {
        this.#process.kill("SIGTERM");
        const timer = setTimeout(() => this.#process.kill("SIGKILL"), exitTimeout);
        const code = await this.#exited;
        clearTimeout(timer);
        return code;
    }

    /** Makes the process stand still. */
    suspend(): void {
        this.#process.kill("SIGSTOP");
    }

    /** Lets the process go on. */
    resume(): void {
        this.#process.kill("SIGCONT");
    }

    /** Whether the process has ended. */
    get hasExited(): boolean {
        return this.#hasExited;
    }
}
