/** Random number generators. Tests and benchmarks use a seeded one. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Source of random numbers and unique names. */
export interface Random {
    /** A number in [0, 1). */
    next(): number;
    /** A unique name that is safe in a URL. */
    name(): string;
}

/** Deterministic generator: equal seeds give equal sequences. */
export class SeededRandom implements Random {
    readonly #generator;

    constructor(seed: number) {
        this.#generator = xoroshiro128plus(seed);
    }

    next(): number {
        return uniformFloat64(this.#generator);
    }

    name(): string {
        const part = () => Math.floor(this.next() * 0x1_0000_0000).toString(16).padStart(8, "0");
        return part() + part();
    }
}

/** The system's generator, used outside tests. All other code obtains random numbers through {@link Random}. */
export class SystemRandom implements Random {
    next(): number {
        return Math.random();
    }

    name(): string {
        return crypto.randomUUID().replaceAll("-", "").slice(0, 20);
    }
}
