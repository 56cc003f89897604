package commander

import (
	"context"
	"fmt"
	"os"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/auditor"
)

// Values of --format.
const (
	formatText = "text"
	formatJSON = "json"
)

// errFaults is the error of a check that has found errors, which are printed already.
const errFaults = errors.ConstError("the configuration has errors")

// TrafficDialect reads the traffic configuration document of a deployment.
type TrafficDialect interface {
	// TrafficConfig decodes the document.
	TrafficConfig(data []byte) (*bergamotdale.TrafficConfig, error)
	// DocumentFaults returns the faults of the document that its decoded form does not show.
	DocumentFaults(data []byte) []bergamotdale.DocumentFault
	// DocumentPath returns where the document has a value of the decoded form.
	DocumentPath(path string) string
}

// trafficReport is the result of a check of a traffic configuration.
type trafficReport struct {
	File    string `json:"file"`
	Version int64  `json:"version"`
	// InForce is the version with which the file was compared, nil for none.
	InForce  *int64            `json:"version-in-force,omitempty"`
	Valid    bool              `json:"valid"`
	Findings []auditor.Finding `json:"findings"`
}

// checkTraffic checks a traffic configuration document, compares it with the version in force
// if --in-force names one, and prints what it finds. It fails if there are errors.
func (c *Commander) checkTraffic(context.Context) error {
	format := c.flags.format
	if c.flags.json {
		format = formatJSON
	}
	if format != formatText && format != formatJSON {
		return errors.Errorf("--format is neither %s nor %s: %q", formatText, formatJSON, format)
	}
	report := trafficReport{File: c.flags.file, Findings: []auditor.Finding{}}
	config, findings, err := c.readTraffic(c.flags.file)
	if err != nil {
		return err
	}
	report.add(findings)
	if config != nil {
		report.Version = config.Version
		report.add(c.translate(auditor.Check(config, c.TrafficBounds)))
	}
	if c.flags.inForce != "" {
		inForce, findings, err := c.readTraffic(c.flags.inForce)
		if err != nil {
			return err
		}
		if inForce == nil {
			// Otherwise its faults are those of a version that routers follow already.
			for i := range findings {
				findings[i].Message = "version in force: " + findings[i].Message
			}
			report.add(findings)
		} else {
			report.InForce = &inForce.Version
		}
		if config != nil && inForce != nil {
			report.add(c.translate(auditor.Compare(config, inForce)))
		}
	}
	report.Valid = !auditor.HasErrors(report.Findings)
	if err := c.printTraffic(report, format); err != nil {
		return err
	}
	if !report.Valid {
		return errFaults
	}
	return nil
}

// readTraffic reads a document. The configuration is nil if it cannot be decoded. The error
// is that of reading the file.
func (c *Commander) readTraffic(file string) (*bergamotdale.TrafficConfig, []auditor.Finding, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	var findings []auditor.Finding
	for _, fault := range c.TrafficDialect.DocumentFaults(data) {
		findings = append(findings, auditor.Finding{
			Severity: auditor.SeverityError, Kind: auditor.KindInvalid, Path: fault.Path, Message: fault.Message,
		})
	}
	config, err := c.TrafficDialect.TrafficConfig(data)
	if err == nil {
		return config, findings, nil
	}
	if len(findings) == 0 {
		findings = append(findings, auditor.Finding{Severity: auditor.SeverityError, Kind: auditor.KindInvalid, Message: err.Error()})
	}
	return nil, findings, nil
}

// translate returns the findings with paths of the document.
func (c *Commander) translate(findings []auditor.Finding) []auditor.Finding {
	for i := range findings {
		findings[i].Path = c.TrafficDialect.DocumentPath(findings[i].Path)
	}
	return findings
}

// add adds findings to the report.
func (r *trafficReport) add(findings []auditor.Finding) { r.Findings = append(r.Findings, findings...) }

// printTraffic prints the report.
func (c *Commander) printTraffic(r trafficReport, format string) error {
	if format == formatJSON {
		return c.printJSON(r)
	}
	counts := map[auditor.Severity]int{}
	for _, f := range r.Findings {
		counts[f.Severity]++
		place := r.File
		if f.Path != "" {
			place += ": " + f.Path
		}
		c.printf("%s: %s: %s (%s)\n", place, f.Severity, f.Message, f.Kind)
	}
	compared := "not compared with a version in force"
	if r.InForce != nil {
		compared = fmt.Sprintf("compared with version %d", *r.InForce)
	}
	c.printf("%s: version %d, %s: %d errors, %d warnings, %d other differences\n", r.File, r.Version, compared,
		counts[auditor.SeverityError], counts[auditor.SeverityWarning], counts[auditor.SeverityInfo])
	return nil
}
