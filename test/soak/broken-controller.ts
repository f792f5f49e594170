/**
 * Builds controllers that lack one part of the placement rule. The soak test requires the rule checker to detect each.
 */
import { readFileSync } from 'node:fs';
import { build, type Plugin } from 'esbuild';

/** A replacement of the text `from` by `to` in a source file. */
interface SourceReplacement {
  readonly file: string;
  readonly from: string;
  readonly to: string;
}

const RULE_FILE = 'scheduler/placement-rule.ts';

/**
 * The source replacements that remove each part of the placement rule. The scheduler and the check of start commands
 * share the rule's source file, so a replacement there affects both.
 */
const REPLACEMENTS_BY_PART = {
  type: [
    {
      file: RULE_FILE,
      from: 'if (spec.allowedTypes !== null && !spec.allowedTypes.includes(machine.type)) return PlacementRefusal.Type;',
      to: '',
    },
  ],
  zone: [
    {
      file: RULE_FILE,
      from: 'if (spec.zone !== null && spec.zone !== machine.zone) return PlacementRefusal.Zone;',
      to: '',
    },
  ],
  spot: [
    { file: RULE_FILE, from: 'if (machine.spot && !spec.allowsSpot) return PlacementRefusal.Spot;', to: '' },
    {
      file: 'scheduler/placement.ts',
      from: 'spec.allowsSpot ? this.spotIndex : this.onDemandIndex',
      to: 'this.spotIndex',
    },
  ],
  zoneAffinity: [
    { file: RULE_FILE, from: 'if (spec.zoneAffinity && hasTaskInOtherZone(others, zone)) return 0;', to: '' },
  ],
  zoneAntiAffinity: [
    {
      file: RULE_FILE,
      from: 'return spec.zoneAntiAffinity ?',
      to: 'return spec.zoneAntiAffinity && false ?',
    },
  ],
} satisfies Record<string, readonly SourceReplacement[]>;

/** The name of a part of the placement rule, as given to `--broken`. */
export type RulePart = keyof typeof REPLACEMENTS_BY_PART;

/** The parts of the placement rule that `buildProgram` can remove. */
export const RULE_PARTS = Object.keys(REPLACEMENTS_BY_PART) as RulePart[];

function applyReplacements(path: string, replacements: readonly SourceReplacement[]): string {
  let text = readFileSync(path, 'utf8');
  for (const { file, from, to } of replacements) {
    if (!path.endsWith(file)) continue;
    if (!text.includes(from)) throw new Error(`${file} does not contain the source text to replace: ${from}`);
    text = text.replace(from, to);
  }
  return text;
}

function removalPlugin(replacements: readonly SourceReplacement[]): Plugin {
  return {
    name: 'broken-controller',
    setup(bundler) {
      bundler.onLoad({ filter: /\/src\/scheduler\/.*\.ts$/ }, ({ path }) => ({
        contents: applyReplacements(path, replacements),
        loader: 'ts',
      }));
    },
  };
}

/**
 * Builds the controller program. `missingPart` is the part of the placement rule to remove; null builds the full
 * program.
 */
export async function buildProgram(outfile: string, missingPart: RulePart | null): Promise<void> {
  await build({
    entryPoints: ['src/main.ts'],
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    outfile,
    minifySyntax: true,
    minifyWhitespace: true,
    logLevel: 'warning',
    plugins: missingPart === null ? [] : [removalPlugin(REPLACEMENTS_BY_PART[missingPart])],
  });
}
