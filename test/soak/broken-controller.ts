/**
 * Builds controllers that lack one part of the placement rule, the ordered lookups of jobs, or the bound on the cost of
 * a change to the dependency graph. The soak test requires the rule checker to detect each.
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
  lookups: [
    {
      file: 'api/job-watch.ts',
      from: 'await this.preloader.load()',
      to: "(await this.ctx.store.range('epoch')).revision",
    },
    {
      file: 'api/job-lookups.ts',
      from: 'if (!lookup || this.expectedWaitMs > MAX_WAIT_MS) {',
      to: 'if (!lookup || this.expectedWaitMs > MAX_WAIT_MS) { this.unchecked.delete(id); this.existing.delete(id);',
    },
  ],
  pipelines: [
    {
      file: 'scheduler/priority-inheritance.ts',
      from: 'this.passOn(job, job.inheritedPriority, null);',
      to: `
        const followAllPaths = (waiting) => {
          this.visits++;
          for (const id of waiting.dependencies.unmet) {
            const dependency = this.graph.jobs.get(id);
            if (dependency) followAllPaths(dependency);
          }
        };
        followAllPaths(job);
        this.passOn(job, job.inheritedPriority, null);`,
    },
  ],
} satisfies Record<string, readonly SourceReplacement[]>;

/** The name of a part, as given to `--broken`. */
export type ProgramPart = keyof typeof REPLACEMENTS_BY_PART;

/** The parts that `buildProgram` can remove. */
export const PROGRAM_PARTS = Object.keys(REPLACEMENTS_BY_PART) as ProgramPart[];

/** The part without which open jobs are not loaded at start, and a lookup whose turn is not near is dropped. */
export const LOOKUP_PART = 'lookups' satisfies ProgramPart;

/** The part without which the cancellation of a waiting job follows every path through its dependencies. */
export const PIPELINE_PART = 'pipelines' satisfies ProgramPart;

/** Returns the rule that a program without the part breaks: the start of the violation's description. */
export function violationOf(part: ProgramPart): string {
  return part === LOOKUP_PART || part === PIPELINE_PART ? 'forgotten' : 'wrong_place';
}

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
      bundler.onLoad({ filter: /\/src\/(scheduler|api)\/.*\.ts$/ }, ({ path }) => ({
        contents: applyReplacements(path, replacements),
        loader: 'ts',
      }));
    },
  };
}

/**
 * Builds the controller program. `missingPart` is the part to remove; null builds the full
 * program.
 */
export async function buildProgram(outfile: string, missingPart: ProgramPart | null): Promise<void> {
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
