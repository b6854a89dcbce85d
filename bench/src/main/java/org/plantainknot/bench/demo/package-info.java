/** The demo: the main job on one machine, with a leader killed midway. */
package org.plantainknot.bench.demo;
