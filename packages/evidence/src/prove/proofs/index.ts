/** All proofs, in the order of the brief's points. */
import type { Proof } from "../types.js";
import { capacityProof } from "./capacity.js";
import { leavingProof } from "./leaving.js";
import { notRunProof } from "./not-run.js";
import { onceProof } from "./once.js";
import { onePlaceProof } from "./one-place.js";
import { settingsProof } from "./settings.js";
import { stopProof } from "./stop.js";
import { wholeAnswerProof } from "./whole-answer.js";

/** One proof a point at the least. */
export const proofs: readonly Proof[] = [
    capacityProof,
    onePlaceProof,
    wholeAnswerProof,
    notRunProof,
    onceProof,
    leavingProof,
    stopProof,
    settingsProof,
];
