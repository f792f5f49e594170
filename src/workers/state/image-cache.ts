import type { ImageId } from '../../model/ids.js';

/** The images that a machine is expected to have cached: the least recently used ones are evicted. */
export class ImageCache {
  /** Sizes in GB, least recently used first. */
  private readonly sizes = new Map<ImageId, number>();

  has(image: ImageId): boolean {
    return this.sizes.has(image);
  }

  /** Records that the image was used, and evicts others until the rest fits into `capacityGb`. */
  use(image: ImageId, sizeGb: number, capacityGb: number): void {
    this.sizes.delete(image);
    this.sizes.set(image, sizeGb);
    let totalGb = 0;
    for (const size of this.sizes.values()) totalGb += size;
    for (const [oldest, size] of this.sizes) {
      if (totalGb <= capacityGb || oldest === image) break;
      this.sizes.delete(oldest);
      totalGb -= size;
    }
  }
}
