/** What all commands share: the settings file, `--json`, and errors shown in one form. */
import { errorCatalogue, type ErrorEntry, type ErrorName, type Finding, formatFinding } from "@pebbledale/core";
import { ExitCode, loadProgramSettings, operatorSchema, type ProgramValues } from "@pebbledale/runtime";
import { Command, Option } from "clipanion";
import { OperatorError } from "../output/index.js";

/** The values of the command line's settings file. */
export type OperatorValues = ProgramValues<typeof operatorSchema>;

/** Base of all commands. */
export abstract class OperatorCommand extends Command {
    config = Option.String("--config", "pebbledale.ini", { description: "The command line's settings file" });
    json = Option.Boolean("--json", false, { description: "Print JSON in place of a table" });

    /** Does the command's work; resolves to the exit code. */
    protected abstract executeWithSettings(values: OperatorValues): Promise<ExitCode>;

    /** See {@link Command.execute}. */
    override async execute(): Promise<number> {
        const settings = loadProgramSettings(operatorSchema, this.config);
        if (settings.isErr()) {
            this.showFindings(settings.error);
            return ExitCode.Usage;
        }
        try {
            return await this.executeWithSettings(settings.value);
        }
        catch (cause) {
            if (cause instanceof OperatorError) {
                this.showError(cause.error, cause.message);
                return ExitCode.Failed;
            }
            throw cause;
        }
    }

    /** Prints one line. */
    protected print(line: string): void {
        this.context.stdout.write(`${line}\n`);
    }

    /** Prints an error of the catalogue. */
    protected showError(error: ErrorName, reason: string): void {
        const { title, message, hint }: ErrorEntry = errorCatalogue[error];
        this.context.stderr.write(`${title}: ${reason === "" ? message : reason}\n${hint}\n`);
    }

    /** Prints findings, each with its place. */
    protected showFindings(findings: readonly Finding[]): void {
        findings.forEach(finding => this.context.stderr.write(`${formatFinding(finding)}\n`));
    }
}
