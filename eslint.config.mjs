import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

/** The layers of `src/`, lowest first (docs/architecture.md): a folder imports none that stands in a higher layer. */
const LAYERS = [
  ['model'],
  ['log', 'net'],
  ['wire', 'config'],
  ['store', 'cloud', 'peer'],
  ['scheduler', 'forecast'],
  ['workers/state'],
  ['core'],
  ['workers', 'fleet', 'api'],
  ['leadership'],
  ['leader'],
  ['controller'],
  ['cli'],
];

/** What a folder must not import: everything in the layers above its own. */
function restrictionsFor(folder, layerIndex) {
  const higher = LAYERS.slice(layerIndex + 1)
    .flat()
    // `workers/` holds the lower layer `workers/state/` as well.
    .filter((name) => !name.startsWith(`${folder}/`));
  if (higher.length === 0) return null;
  const parentFiles = folder.includes('/') ? '|^\\.\\./[^/]+$' : '';
  const pattern = `(^|/)(${higher.map((name) => (name === 'workers' ? 'workers/(?!state/)' : `${name}/`)).join('|')})`;
  return {
    files: [`src/${folder}/**/*.ts`],
    ignores: folder === 'workers' ? ['src/workers/state/**'] : [],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              regex: `^\\.\\..*${pattern}${parentFiles}`,
              message: `${folder}/ stands below this layer (docs/architecture.md).`,
            },
          ],
        },
      ],
    },
  };
}

const layerRules = LAYERS.flatMap((folders, layerIndex) =>
  folders.map((folder) => restrictionsFor(folder, layerIndex)).filter((rule) => rule !== null),
);

export default tseslint.config(
  { ignores: ['target/', 'journal/', 'node_modules/'] },
  ...tseslint.configs.recommended,
  ...tseslint.configs.recommendedTypeChecked.map((config) => ({ ...config, files: ['**/*.ts'] })),
  {
    files: ['**/*.ts'],
    languageOptions: { parserOptions: { projectService: true } },
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { fixStyle: 'inline-type-imports' }],
      '@typescript-eslint/no-empty-function': 'off',
      '@typescript-eslint/explicit-member-accessibility': ['error', { accessibility: 'no-public' }],
      '@typescript-eslint/naming-convention': [
        'error',
        { selector: 'typeLike', format: ['PascalCase'] },
        { selector: 'enumMember', format: ['PascalCase'] },
        { selector: 'function', format: ['camelCase'] },
        { selector: 'method', format: ['camelCase'] },
        { selector: 'variable', format: ['camelCase', 'UPPER_CASE'] },
        // Classes and enum-like objects that are held in constants.
        { selector: 'variable', modifiers: ['const'], format: ['camelCase', 'UPPER_CASE', 'PascalCase'] },
        { selector: 'parameter', format: ['camelCase'], leadingUnderscore: 'allow' },
        { selector: 'classProperty', format: ['camelCase'] },
      ],
      complexity: ['error', 15],
      'max-depth': ['error', 4],
      'max-statements-per-line': ['error', { max: 1 }],
      'no-nested-ternary': 'error',
    },
  },
  {
    files: ['src/**/*.ts', 'packages/*/src/**/*.ts'],
    plugins: { jsdoc },
    rules: {
      // `a` and `b`: the operands of a comparator; `z`: zod, as its users name it.
      'id-length': [
        'error',
        { min: 2, properties: 'never', exceptions: ['_', 'a', 'b', 'z', 'T', 'K', 'V'] },
      ],
      'max-lines': ['error', { max: 300, skipBlankLines: true, skipComments: true }],
      'max-lines-per-function': ['error', { max: 60, skipBlankLines: true, skipComments: true }],
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          require: { ClassDeclaration: true, FunctionDeclaration: true },
          contexts: ['TSInterfaceDeclaration', 'TSTypeAliasDeclaration', 'TSEnumDeclaration'],
        },
      ],
    },
  },
  ...layerRules,
);
