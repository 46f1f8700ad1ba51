/** Placeholder until the commands are added. */
export const operatorVersion = "0.1.0";
