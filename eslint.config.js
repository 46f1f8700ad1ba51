import jsdoc from "eslint-plugin-jsdoc";
import typescript from "typescript-eslint";

export default typescript.config(
    { ignores: ["**/dist/**", "**/node_modules/**", "target/**"] },
    ...typescript.configs.recommended,
    {
        files: ["packages/**/*.ts", "platform/**/*.ts"],
        plugins: { jsdoc },
        rules: {
            "curly": "error",
            "eqeqeq": "error",
            "prefer-arrow-callback": "error",
            "prefer-const": "error",
            "no-restricted-syntax": ["error", { selector: "Literal[raw='null']", message: "use undefined" }],
            "no-restricted-properties": [
                "error",
                {
                    object: "AbortSignal",
                    property: "any",
                    message: "it leaks on Node.js 20; use linkSignals of runtime",
                },
            ],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "classMethod", format: ["camelCase"] },
                { selector: "function", format: ["camelCase"] },
            ],
        },
    },
    {
        files: ["packages/*/src/**/*.ts", "platform/src/**/*.ts"],
        rules: {
            "jsdoc/require-jsdoc": ["error", {
                publicOnly: true,
                require: { ClassDeclaration: true, FunctionDeclaration: true, MethodDefinition: false },
                contexts: [
                    "ExportNamedDeclaration > VariableDeclaration",
                    "TSInterfaceDeclaration",
                    "TSTypeAliasDeclaration",
                    "TSEnumDeclaration",
                ],
                checkConstructors: false,
            }],
            "jsdoc/informative-docs": "error",
            "no-warning-comments": ["error", {
                terms: ["see the module's comment", "see the class's comment"],
                location: "start",
                decoration: ["*"],
            }],
        },
    },
);
