import gts from 'gts/build/src/index.js';
import tseslint from 'typescript-eslint';

/** The configuration of gts leaves out CommonJS modules. */
const TYPESCRIPT_FILES = ['**/*.ts', '**/*.cts'];

export default tseslint.config(
  {ignores: ['node_modules/', 'build/', 'packages/*/node_modules/', 'target/']},
  ...gts.map(entry =>
    entry.files?.flat().includes(TYPESCRIPT_FILES[0])
      ? {...entry, files: [...entry.files, ...TYPESCRIPT_FILES]}
      : entry,
  ),
  {
    files: TYPESCRIPT_FILES,
    rules: {
      '@typescript-eslint/consistent-type-imports': [
        'error',
        {prefer: 'type-imports', fixStyle: 'separate-type-imports'},
      ],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', varsIgnorePattern: '^_'},
      ],
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            {from: 'package', name: ['describe', 'it'], package: 'node:test'},
          ],
        },
      ],
      // Workspaces resolve their dependencies through the lock file at the root.
      'n/no-extraneous-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-unpublished-import': 'off',
      // Programs exit explicitly, since idle connections would keep the process alive.
      'n/no-process-exit': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
    },
  },
);
