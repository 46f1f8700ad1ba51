/** Types of setting values: parsing, validation and description. */
import ms, { type StringValue } from "ms";
import { err, ok, type Result } from "neverthrow";

/** Parses one type of value. Error messages do not include the location. */
export interface ValueKind<Value> {
    /** Accepted values, for error messages and the settings page. */
    readonly description: string;
    read(text: string): Result<Value, string>;
}

const millisecondsPattern = /^\d+(\.\d+)?(ms|s|m|h|d)$/;
const integerPattern = /^\d+$/;
const sharePattern = /^\d+(\.\d+)?%$/;
const addressPattern = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/;

/** A duration with a unit, parsed to milliseconds. */
export class DurationKind implements ValueKind<number> {
    readonly description: string;

    constructor(private readonly min: string, private readonly max: string) {
        this.description = `duration from ${min} to ${max}, as in 250ms, 10s, 15m, 1h`;
    }

    read(text: string): Result<number, string> {
        if (!millisecondsPattern.test(text)) {
            return err(`"${text}" is no ${this.description}`);
        }
        const value = ms(text as StringValue);
        const isWithin = value >= ms(this.min as StringValue) && value <= ms(this.max as StringValue);
        return isWithin ? ok(value) : err(`${text} is outside ${this.min} to ${this.max}`);
    }
}

/** A whole number within bounds. */
export class CountKind implements ValueKind<number> {
    readonly description: string;

    constructor(private readonly min: number, private readonly max: number, unit = "") {
        this.description = `whole number from ${min} to ${max}${unit === "" ? "" : `, in ${unit}`}`;
    }

    read(text: string): Result<number, string> {
        const value = integerPattern.test(text) ? Number(text) : NaN;
        return value >= this.min && value <= this.max ? ok(value) : err(`"${text}" is no ${this.description}`);
    }
}

/** A percentage, parsed to a number from 0 to 1. */
export class ShareKind implements ValueKind<number> {
    readonly description: string;

    constructor(private readonly min: number, private readonly max: number) {
        this.description = `share from ${min}% to ${max}%, as in 15%`;
    }

    read(text: string): Result<number, string> {
        const value = sharePattern.test(text) ? Number(text.slice(0, -1)) : NaN;
        return value >= this.min && value <= this.max ? ok(value / 100) : err(`"${text}" is no ${this.description}`);
    }
}

/** One of a fixed set of words. */
export class ChoiceKind implements ValueKind<string> {
    readonly description: string;

    constructor(private readonly choices: readonly string[]) {
        this.description = `one of ${choices.join(", ")}`;
    }

    read(text: string): Result<string, string> {
        return this.choices.includes(text) ? ok(text) : err(`"${text}" is not ${this.description}`);
    }
}

/** A name of letters, digits, dots, underscores and hyphens; a path also has slashes. */
export class NameKind implements ValueKind<string> {
    readonly description: string;
    readonly #pattern: RegExp;

    constructor(isPath: boolean) {
        this.description = isPath ? "name with slashes, as in luzon/pasig" : "name, as in pasig-1";
        this.#pattern = isPath ? /^[A-Za-z0-9._-]+(\/[A-Za-z0-9._-]+)*$/ : /^[A-Za-z0-9][A-Za-z0-9._-]*$/;
    }

    read(text: string): Result<string, string> {
        return this.#pattern.test(text) ? ok(text) : err(`"${text}" is no ${this.description}`);
    }
}

/** An IPv4 address with a port. */
export class AddressKind implements ValueKind<string> {
    readonly description = "IP number and port, as in 127.0.0.1:7000";

    read(text: string): Result<string, string> {
        const parts = addressPattern.exec(text)?.slice(1).map(Number);
        const isAddress = parts !== undefined && parts.slice(0, 4).every(part => part <= 255) && parts[4] <= 65_535;
        return isAddress ? ok(text) : err(`"${text}" is no ${this.description}`);
    }
}

/** Comma-separated addresses. May be empty. */
export class AddressListKind implements ValueKind<readonly string[]> {
    readonly description = "addresses parted by commas, as in 127.0.0.1:7000, 127.0.0.1:7001";
    readonly #address = new AddressKind();

    read(text: string): Result<readonly string[], string> {
        const parts = text.split(",").map(part => part.trim()).filter(part => part !== "");
        const invalid = parts.find(part => this.#address.read(part).isErr());
        return invalid === undefined ? ok(parts) : err(`"${invalid}" is no ${this.#address.description}`);
    }
}

/** Definition of one key in a settings schema. */
export interface SettingDefinition<Value> {
    readonly kind: ValueKind<Value>;
    /** Default value as text; undefined for a required key. */
    readonly fallback: string | undefined;
    /** Description for the generated settings page. */
    readonly comment: string;
}

/** Creates a definition, inferring the value's type from its kind. */
export const defineSetting = <Value>(
    kind: ValueKind<Value>,
    fallback: string | undefined,
    comment: string,
): SettingDefinition<Value> => ({ kind, fallback, comment });
