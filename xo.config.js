/** Overrides of XO's rules, each with its reason. */
export default [
	{
		ignores: ['**/dist/**', '**/generated/**', '.tap/**'],
	},
	{
		files: ['**/*.ts'],
		rules: {
			// Array methods are the preferred control flow.
			'unicorn/no-array-reduce': 'off',
			'unicorn/no-array-callback-reference': 'off',
			'array-callback-return': 'off',
			'unicorn/no-for-loop': 'off',
			// Data uses enums. Handlers are looked up in objects whose keys are enum members.
			'@typescript-eslint/naming-convention': 'off',
			// All handlers of a table have the same type, even if one of them uses no parameter.
			'@typescript-eslint/parameter-properties': 'off',
			// JSON and the generated codec represent a missing value as `null`.
			'@typescript-eslint/no-restricted-types': 'off',
			'unicorn/no-null': 'off',
			// Names of timers, sockets and wire fields follow their protocols.
			'unicorn/prevent-abbreviations': ['error', {allowList: {env: true, argv: true}}],
			// Some functions take more than XO's four parameters.
			'max-params': ['error', 6],
			'import-x/order': 'off',
			// Schema patterns are exported to JSON Schema, which interprets patterns with the `u` flag.
			'require-unicode-regexp': ['error', {requireFlag: 'u'}],
			// The generated codec marks its own short type names as deprecated, and the code uses them.
			'@typescript-eslint/no-deprecated': 'off',
			// The root package links the workspace packages.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
			// Callbacks of array methods may be a single call that returns nothing.
			'@typescript-eslint/no-confusing-void-expression': 'off',
			// An explicit check for `undefined` is clearer than comparing the result of an optional chain with it.
			'@typescript-eslint/prefer-optional-chain': 'off',
			// A callback whose result is ignored may return a value.
			'@typescript-eslint/strict-void-return': 'off',
			// A handler table is keyed by the type that each handler accepts; the compiler cannot infer this from a lookup.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
		},
	},
	{
		files: ['**/*.test.ts'],
		rules: {
			// The steps of a test run one after another.
			'no-await-in-loop': 'off',
			// The test runner awaits all registered tests.
			'@typescript-eslint/no-floating-promises': 'off',
		},
	},
];
