//! The container images expected to be in a machine's cache. Workers don't report their caches: the content is
//! inferred from the tasks that ran on the machine, so it is only a hint.

use crate::ids::Image;

/// A cached image.
#[derive(Clone, Debug, PartialEq)]
pub struct CachedImage {
    /// The image.
    pub image: Image,
    /// The size in gigabytes.
    pub size_gb: f64,
}

/// The images in one machine's cache, least recently used first.
#[derive(Clone, Debug, Default)]
pub struct ImageCache {
    images: Vec<CachedImage>,
}

impl ImageCache {
    /// Whether the image is expected to be in the cache.
    pub fn contains(&self, image: &Image) -> bool {
        self.images.iter().any(|cached| cached.image == *image)
    }

    /// Records that a task used the image, and evicts the least recently used images while the cache exceeds
    /// its capacity.
    pub fn record_use(&mut self, image: &Image, size_gb: f64, capacity_gb: f64) {
        self.images.retain(|cached| cached.image != *image);
        self.images.push(CachedImage {
            image: image.clone(),
            size_gb,
        });
        let mut used_gb: f64 = self.sizes_gb().sum();
        while used_gb > capacity_gb && self.images.len() > 1 {
            used_gb -= self.images.remove(0).size_gb;
        }
    }

    /// The images, least recently used first.
    pub fn iter(&self) -> std::slice::Iter<'_, CachedImage> {
        self.images.iter()
    }

    /// The sizes of the images in gigabytes, least recently used first.
    pub fn sizes_gb(&self) -> impl Iterator<Item = f64> + '_ {
        self.images.iter().map(|cached| cached.size_gb)
    }
}

impl FromIterator<CachedImage> for ImageCache {
    /// Creates a cache from its images, least recently used first.
    fn from_iter<I: IntoIterator<Item = CachedImage>>(images: I) -> ImageCache {
        ImageCache {
            images: images.into_iter().collect(),
        }
    }
}
