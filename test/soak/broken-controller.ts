/** Controllers that lack one part of the placement rule: the checker must detect each. */
import { readFileSync } from 'node:fs';
import { build, type Plugin } from 'esbuild';

/** A replacement of text in a source file. */
interface Change {
  readonly file: string;
  readonly from: string;
  readonly to: string;
}

const RULE = 'scheduler/placement-rule.ts';

/** The replacements for each part; the rule is shared by the scheduler and the check of commands. */
const CHANGES = {
  type: [
    {
      file: RULE,
      from: 'if (spec.allowedTypes !== null && !spec.allowedTypes.includes(machine.type)) return PlacementRefusal.Type;',
      to: '',
    },
  ],
  zone: [
    {
      file: RULE,
      from: 'if (spec.zone !== null && spec.zone !== machine.zone) return PlacementRefusal.Zone;',
      to: '',
    },
  ],
  spot: [
    { file: RULE, from: 'if (machine.spot && !spec.allowsSpot) return PlacementRefusal.Spot;', to: '' },
    {
      file: 'scheduler/placement.ts',
      from: 'spec.allowsSpot ? this.spotIndex : this.onDemandIndex',
      to: 'this.spotIndex',
    },
  ],
  zoneAffinity: [
    { file: RULE, from: 'if (spec.zoneAffinity && hasTaskInOtherZone(others, zone)) return 0;', to: '' },
  ],
  zoneAntiAffinity: [
    { file: RULE, from: 'return spec.zoneAntiAffinity ?', to: 'return spec.zoneAntiAffinity && false ?' },
  ],
} satisfies Record<string, readonly Change[]>;

/** A part of the placement rule. */
export type RulePart = keyof typeof CHANGES;

/** All parts that can be removed. */
export const RULE_PARTS = Object.keys(CHANGES) as RulePart[];

function applyChanges(path: string, changes: readonly Change[]): string {
  let text = readFileSync(path, 'utf8');
  for (const { file, from, to } of changes) {
    if (!path.endsWith(file)) continue;
    if (!text.includes(from))
      throw new Error(`${file} does not have the text that is to be taken out: ${from}`);
    text = text.replace(from, to);
  }
  return text;
}

function removalPlugin(changes: readonly Change[]): Plugin {
  return {
    name: 'broken-controller',
    setup(bundler) {
      bundler.onLoad({ filter: /\/src\/scheduler\/.*\.ts$/ }, ({ path }) => ({
        contents: applyChanges(path, changes),
        loader: 'ts',
      }));
    },
  };
}

/** Builds the controllers' program. `missingPart`: the part of the rule to remove; null: none. */
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
    plugins: missingPart === null ? [] : [removalPlugin(CHANGES[missingPart])],
  });
}
