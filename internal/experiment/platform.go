package experiment

import (
	"encoding/base64"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/jacinthstall/jacinthstall/configsync"
	"github.com/jacinthstall/jacinthstall/internal/ctl"
	"github.com/jacinthstall/jacinthstall/standin/platformd"
)

// deployment is a set of running programs: platform stand-in, targets and entry instances.
type deployment struct {
	plan       *deploymentPlan
	programDir string
	dir        string // Directory for settings and logs.
	platform   *Process
	instances  []*Process // In the order of plan.instances.
	targets    []*Process

	longestShutdown time.Duration // Includes the lifetime of look-ups, for which a stopping instance stays available.
}

// startDeployment starts a deployment and waits until all programs are ready. The
// caller must close the deployment also after an error.
func startDeployment(options Options, dir string) (*deployment, error) {
	deployment := &deployment{programDir: options.ProgramDir, dir: dir}
	var err error
	if options.KeyFile, err = copyKey(options.KeyFile, dir); err != nil {
		return deployment, err
	}
	key, err := ctl.LoadKey(options.KeyFile)
	if err != nil {
		return deployment, err
	}
	if deployment.plan, err = options.Layout.plan(); err != nil {
		return deployment, err
	}
	public := base64.StdEncoding.EncodeToString(configsync.PublicKey(key))
	for i := range deployment.plan.instances {
		deployment.plan.instances[i].settings.OperatorKeys = []string{public}
	}
	if err := deployment.plan.writeFiles(dir); err != nil {
		return deployment, err
	}
	if err := deployment.startStandIns(options); err != nil {
		return deployment, err
	}
	return deployment, deployment.startInstances()
}

// copyKey copies a key file to dir with access for its owner only, since a Git
// checkout does not preserve such permissions. It returns the path of the copy.
func copyKey(file, dir string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	privateFile := filepath.Join(dir, "operator.key")
	return privateFile, os.WriteFile(privateFile, data, 0o600)
}

func (deployment *deployment) startProgram(name, program string, args ...string) (*Process, error) {
	return startProcess(deployment.dir, name, filepath.Join(deployment.programDir, program), args...)
}

func (deployment *deployment) startStandIns(options Options) (err error) {
	deployment.platform, err = deployment.startProgram("platform", "jacinth-platform",
		"--address", deployment.plan.platform, "--key", options.KeyFile,
		"--instances", filepath.Join(deployment.dir, "instances.json"), "--document", filepath.Join(deployment.dir, "policy.json"))
	if err != nil {
		return err
	}
	for _, target := range deployment.plan.targets {
		process, err := deployment.startProgram(target.Name, "jacinth-target", "--name", target.Name, "--address", target.Address,
			"--slots", strconv.Itoa(target.Slots), "--service", options.Layout.serviceTime(target.Service))
		if err != nil {
			return err
		}
		deployment.targets = append(deployment.targets, process)
	}
	for _, target := range deployment.plan.targets {
		if err := waitReady(target.Name, "http://"+target.Address+"/-/health"); err != nil {
			return err
		}
	}
	return waitReady("platform", "http://"+deployment.plan.platform+"/admin/calls")
}

// serviceTime returns the duration of one execution for a service.
func (layout Layout) serviceTime(service string) string {
	for _, candidate := range layout.Services {
		if candidate.Name == service {
			return candidate.ServiceTime
		}
	}
	return "0s"
}

func (deployment *deployment) startInstances() error {
	for _, instance := range deployment.plan.instances {
		process, err := deployment.startProgram(instance.settings.Name, "jacinthd", "--settings", instance.settingsFile)
		if err != nil {
			return err
		}
		deployment.instances = append(deployment.instances, process)
	}
	for i := range deployment.instances {
		if err := deployment.waitInstanceReady(i); err != nil {
			return err
		}
	}
	return nil
}

func (deployment *deployment) waitInstanceReady(i int) error {
	config := deployment.plan.instances[i].settings
	return waitReady(config.Name, "http://"+config.OperatorAddress+"/ready")
}

// restartInstance starts an instance whose process has ended and waits until it is ready.
func (deployment *deployment) restartInstance(i int) error {
	if err := deployment.instances[i].Start(); err != nil {
		return err
	}
	return deployment.waitInstanceReady(i)
}

func (deployment *deployment) setPlatformFaults(faults platformd.Faults) error {
	return callControlRoute(http.MethodPut, "http://"+deployment.plan.platform+"/admin/faults", faults, nil)
}

func (deployment *deployment) crashTarget(i int) error {
	err := callControlRoute(http.MethodPost, "http://"+deployment.plan.targets[i].Address+"/-/crash", nil, nil)
	if _, ok := err.(*StatusError); ok {
		return err
	}
	return nil // The crash also resets the connection of this call.
}

// targetReports waits until all targets are ready, since they may still restart
// after a crash, and returns their reports.
func (deployment *deployment) targetReports() ([]TargetReport, error) {
	var reports []TargetReport
	for _, target := range deployment.plan.targets {
		if err := waitReady(target.Name, "http://"+target.Address+"/-/health"); err != nil {
			return nil, err
		}
		report := TargetReport{Name: target.Name, Domain: target.Domain}
		if err := callControlRoute(http.MethodGet, "http://"+target.Address+"/-/executed", nil, &report.Report); err != nil {
			return nil, err
		}
		reports = append(reports, report)
	}
	return reports, nil
}

// close ends all processes of the deployment.
func (deployment *deployment) close() {
	for _, process := range append(append([]*Process{deployment.platform}, deployment.instances...), deployment.targets...) {
		if process != nil {
			process.close()
		}
	}
}
