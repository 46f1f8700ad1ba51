/** Decoding of JSON from outside. */

/** Parses a text; undefined when it is no JSON. */
export const parseJson = (text: string): unknown => {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return undefined;
    }
};
