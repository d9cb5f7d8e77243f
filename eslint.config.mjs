import { configs, extensions, plugins } from 'eslint-config-airbnb-extended';

const NAMESPACE_IMPORT_MESSAGE = 'Import modules as namespaces: import * as name from "module".';

export default [
  {
    ignores: [
      'dist/**',
      'target/**',
      'deploy/**',
      'node_modules/**',
      'src/node/peer/generated/**',
      'reports/**',
      '*.mjs',
      '*.cjs',
      'jest.*.js',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...extensions.base.typescript,
  ...configs.node.recommended,
  ...configs.base.typescript,
  {
    files: ['**/*.ts'],
    rules: {
      'no-underscore-dangle': ['error', { enforceInMethodNames: true, enforceInClassFields: true }],
      'no-restricted-syntax': [
        'error',
        { selector: 'ImportSpecifier', message: NAMESPACE_IMPORT_MESSAGE },
        { selector: 'ImportDefaultSpecifier', message: NAMESPACE_IMPORT_MESSAGE },
        { selector: 'ForInStatement', message: 'Iterate over Object.keys or entries.' },
        { selector: 'WithStatement', message: 'with is not allowed.' },
      ],
    },
  },
  {
    // Development tools of the repository, which no installed package contains.
    files: ['src/faults/**/*.ts'],
    rules: { 'import-x/no-extraneous-dependencies': ['error', { devDependencies: true }] },
  },
  {
    // Nothing else runs while the program is loaded.
    files: ['src/platform/launch.ts'],
    rules: { 'n/no-sync': 'off' },
  },
  {
    files: ['src/cli/main.ts'],
    rules: {
      // The executable of package.json is compiled from this file.
      'n/hashbang': ['error', { additionalExecutables: ['src/cli/main.ts'] }],
    },
  },
];
