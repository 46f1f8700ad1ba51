/** Base of the operators' commands. */
import { errorCatalogue, type ErrorEntry, type ErrorName, type Finding, formatFinding } from "@pebbledale/core";
import { ExitCode, loadProgramSettings, operatorSchema, type ProgramValues } from "@pebbledale/runtime";
import { Command, Option } from "clipanion";
import { OperatorError } from "../output/index.js";

/** Parsed values of the command line's settings file. */
export type OperatorValues = ProgramValues<typeof operatorSchema>;

/** Base of all commands: reads the settings file, defines `--json`, and prints errors of the catalogue. */
export abstract class OperatorCommand extends Command {
    config = Option.String("--config", "pebbledale.ini", { description: "The command line's settings file" });
    json = Option.Boolean("--json", false, { description: "Print JSON in place of a table" });

    /** Runs the command; resolves to the exit code. An {@link OperatorError} is printed and ends in exit code 1. */
    protected abstract executeWithSettings(values: OperatorValues): Promise<ExitCode>;

    override async execute(): Promise<number> {
        const settings = loadProgramSettings(operatorSchema, this.config);
        if (settings.isErr()) {
            this.showFindings(settings.error);
            return ExitCode.Usage;
        }
        return this.reportErrors(() => this.executeWithSettings(settings.value));
    }

    /** Runs an action and prints an {@link OperatorError}, which ends in exit code 1. */
    protected async reportErrors(action: () => Promise<ExitCode>): Promise<ExitCode> {
        try {
            return await action();
        }
        catch (cause) {
            if (cause instanceof OperatorError) {
                this.showError(cause.error, cause.message);
                return ExitCode.Failed;
            }
            throw cause;
        }
    }

    protected print(line: string): void {
        this.context.stdout.write(`${line}\n`);
    }

    /** Prints an error of the catalogue with its hint; `reason` replaces its message unless it is empty. */
    protected showError(error: ErrorName, reason: string): void {
        const { title, message, hint }: ErrorEntry = errorCatalogue[error];
        this.context.stderr.write(`${title}: ${reason === "" ? message : reason}\n${hint}\n`);
    }

    protected showFindings(findings: readonly Finding[]): void {
        findings.forEach(finding => this.context.stderr.write(`${formatFinding(finding)}\n`));
    }
}
