import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, describe, expect, it } from 'vitest';
import { main } from '../../src/cli/program.js';
import { loadFeatures } from '../../src/config/features.js';
import { InvalidSettingsError } from '../../src/config/operators.js';
import { checkFailover } from '../../src/leadership/failover/failover-settings.js';
import type { MemberId } from '../../src/model/ids.js';
import { siteSettings, SMALL_SITE } from '../simulation/site-setup.js';

const folders: string[] = [];
afterEach(() => folders.splice(0).forEach((folder) => rmSync(folder, { recursive: true })));

function createFeatureFolder(text: string | null): string {
  const folder = mkdtempSync(join(tmpdir(), 'plumyoke-'));
  folders.push(folder);
  if (text !== null) writeFileSync(join(folder, 'membership.toml'), text);
  return folder;
}

describe('the feature file of failure detection', () => {
  it('disables failure detection if the file or the folder is missing, and if enabled is false', () => {
    expect(loadFeatures(undefined).failover).toBeNull();
    expect(loadFeatures(createFeatureFolder(null)).failover).toBeNull();
    expect(loadFeatures(createFeatureFolder('enabled = false')).failover).toBeNull();
    expect(loadFeatures(createFeatureFolder('enabled = true')).failover).toMatchObject({
      earlyTakeover: false,
    });
  });

  it.each([
    ['enabled: missing or not of type boolean', ''],
    ['enabled: missing or not of type boolean', 'enabled = 1'],
    ['suspicion_s: below 0', 'enabled = true\nsuspicion_s = -1'],
    ['unknown field suspicion', 'enabled = true\nsuspicion = 2'],
    ['probe_timeout_s: above probe_interval_s', 'enabled = true\nprobe_timeout_s = 2'],
    ['suspicion_s: above 600', 'enabled = true\nsuspicion_s = 6000'],
    ['max_messages_per_s: below 2', 'enabled = true\nmax_messages_per_s = 1'],
  ])('reports the invalid field: %s', (message, text) => {
    const folder = createFeatureFolder(text);
    expect(() => loadFeatures(folder)).toThrow(`${join(folder, 'membership.toml')}: ${message}`);
  });
});

describe('check-config', () => {
  it('rejects a controller that is named twice, and exits with code 2 for invalid files', async () => {
    const settings = siteSettings('a', SMALL_SITE);
    const peer = { member: 'b' as MemberId, address: '127.0.0.1:2' };
    const feature = loadFeatures(createFeatureFolder('enabled = true')).failover;
    if (feature === null)
      throw new Error('failure detection is disabled although the feature file enables it');
    expect(() => checkFailover({ ...settings, peers: [peer, peer] }, feature)).toThrow(InvalidSettingsError);
    expect(() => checkFailover({ ...settings, peers: [peer, peer] }, feature)).toThrow(
      'membership.toml: members: b is named twice',
    );
    const path = join(createFeatureFolder('enabled = 7'), 'membership.toml');
    await main(['check-config', '--config', path, '--features', path.replace('/membership.toml', '')]);
    expect(process.exitCode).toBe(2);
    process.exitCode = 0;
  });
});
